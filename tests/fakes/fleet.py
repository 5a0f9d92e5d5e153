"""Simulates several node cores with faults on one virtual clock.

After every event, the simulation checks these invariants:

- At most one node may serve a shard.
- At most one upstream holds a live grant for a shard.
- At most one upstream runs requests for a shard, if upstreams do not check grants.
- No node serves under a chain older than one that the log has activated.
- The fencing tokens of a shard increase from owner to owner.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random

from returns.pipeline import is_successful

from papayatack.core.inventory import Service
from papayatack.core.messages import LogBatch
from papayatack.core.ownership import apply_record, dump_state
from papayatack.core.ownership.effects import (
    AppendRecord,
    EmitEvent,
    ExtendLease,
    FinishNode,
    GrantShards,
    RevokeShards,
    SendMessage,
    SendRecords,
)
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import find_planner
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.records import OWNERSHIP_STREAM, Activate, Announce, Assign
from tests.fakes.planner import plan_first_chains, plan_repairs

TICK_S = 0.05
REQUEST_EVERY_S = 0.03
PLAN_EVERY_S = 1.0
LOG_WAIT_S = 0.02


@dataclasses.dataclass
class Upstream:
    """An upstream's grants by shard, with expiry times on the fleet's clock."""

    grants: dict = dataclasses.field(default_factory=dict)
    tokens: dict = dataclasses.field(default_factory=dict)
    running: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def grant(self, lease, tokens, expiry):
        """Accept grants whose token is not lower than the last one of their shard."""
        for shard, token in tokens.items():
            if token >= self.tokens.get(shard, 0):
                self.tokens[shard] = token
                self.grants[shard] = (lease, expiry)

    def extend(self, lease, expiry, now, without):
        """Extend the live grants of a lease, except for the shards in ``without``."""
        for shard, (held, until) in list(self.grants.items()):
            if held == lease and until > now and not without[shard]:
                self.grants[shard] = (lease, max(expiry, until))

    def revoke(self, shards):
        """Revoke grants, regardless of their lease."""
        for shard in shards:
            self.grants.pop(shard, None)


@dataclasses.dataclass
class Slot:
    """A slot for one process: its address, data centre, upstream and clock."""

    name: str
    data_centre: str
    region: str
    service: str
    rate: float = 1.0
    upstream: Upstream = dataclasses.field(default_factory=Upstream)
    core: NodeCore | None = None
    starts: int = 0
    frozen: bool = False
    tail_due: bool = False
    plan_due_s: float = 0.0
    backlog: list = dataclasses.field(default_factory=list)
    notes: list = dataclasses.field(default_factory=list)
    finished: list = dataclasses.field(default_factory=list)
    free_s: dict = dataclasses.field(default_factory=dict)
    revoking: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def read_clock(self, now):
        """Return the time on the clock of this slot."""
        return now * self.rate


class Fleet:
    """Slots, a log and a network, simulated in one event queue."""

    def __init__(
        self,
        *,
        seed=1,
        shards=6,
        latency_s=0.002,
        service="s",
        checks_grants=True,
        longest_s=0.3,
        lease_s=LEASE_DURATION_S,
    ):
        self.lease_s = lease_s
        self.now = 0.0
        self.random = random.Random(seed)
        self.slots = {}
        self.log = []
        self.log_up = True
        self.log_delay_s = 0.004
        self.lose_answers = False
        self.drop = 0.0
        self.duplicate = 0.0
        self.extra_delay_s = 0.0
        self.slow = {}
        self.order_delay_s = 0.0
        self.order_loss = 0.0
        self.order_delays = {}
        self.withheld = set()
        self.cut = set()
        self.log_cut = set()
        self.latency_s = latency_s
        self.service = service
        self.services = {
            service: Service(
                name=service,
                prefix="/",
                checks_grants=checks_grants,
                deadline_s=longest_s,
            )
        }
        self.longest_s = longest_s
        self.checks_grants = checks_grants
        self.truth = OwnershipState()
        self.activated = {}
        self.hot_keys = {}
        self.keyed = None
        self.last_tokens = {}
        self.key_tokens = {}
        self.has_requests = True
        self.tick_s = TICK_S
        self.find_service = self.services.get
        self.shards = [f"{service}/all/{number}" for number in range(shards)]
        self.messages = 0
        self.served_s = dict.fromkeys(self.shards, 0.0)
        self.gaps = dict.fromkeys(self.shards, 0.0)
        self.violations = []
        self.planners_everywhere = False
        self.plans = True
        self.plan_limit = 50
        self._queue = []
        self._numbers = itertools.count()

    def add(self, name, data_centre, *, region="r", rate=1.0, service=None):
        """Add a slot and start a process on it."""
        self.slots[name] = Slot(
            name=name,
            data_centre=data_centre,
            region=region,
            service=service or self.service,
            rate=rate,
        )
        self.start(name)

    def start(self, name, *, state=None, reuse_incarnation=False):
        """Start a new incarnation on a slot.

        Reusing the last incarnation id violates the protocol.
        """
        slot = self.slots[name]
        slot.starts += 0 if reuse_incarnation else 1
        announcement = Announce(
            record_id="",
            writer=name,
            incarnation=f"{name}#{slot.starts}",
            address=name,
            operator_address=name,
            data_centre=slot.data_centre,
            region=slot.region,
            service=slot.service,
            upstream=name,
            slots=4,
            connections=10,
        )
        slot.frozen = False
        slot.backlog.clear()
        slot.free_s.clear()
        slot.revoking.clear()
        slot.core = NodeCore(
            announcement=announcement,
            state=state or OwnershipState(),
            now=slot.read_clock(self.now),
            find_service=self.find_service,
            lease_s=self.lease_s,
        )
        slot.tail_due = False
        self._at(0.0, functools.partial(self._tick, slot, slot.core))
        self.start_requests(name)

    def start_requests(self, name):
        """Start the arrival of requests at a slot."""
        slot = self.slots[name]
        self._at(0.0, functools.partial(self._request, slot, slot.core))

    def kill(self, name):
        """Kill a process; its upstream keeps running."""
        self.slots[name].core = None

    def freeze(self, name):
        """Suspend a process without notice."""
        self.slots[name].frozen = True

    def thaw(self, name):
        """Resume a frozen process and deliver all that arrived in the meantime."""
        slot = self.slots[name]
        slot.frozen = False
        backlog, slot.backlog = slot.backlog, []
        for action in backlog:
            self._at(0.0, action)

    def isolate(self, name, *, others=None, one_way=False):
        """Cut the links between a slot and the given others, by default all."""
        for other in others if others is not None else self.slots:
            if other != name:
                self.cut.add((name, other))
                if not one_way:
                    self.cut.add((other, name))

    def heal(self):
        """Restore all links."""
        self.cut.clear()
        self.log_cut.clear()

    def leave(self, name):
        """Start a graceful shutdown."""
        slot = self.slots[name]
        now = slot.read_clock(self.now)
        self._carry_out(slot, slot.core, slot.core.start_departure(now))

    def run(self, duration_s):
        """Advance the time, checking the invariants after each event."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
            self.check()
        self.now = end
        self.check()

    def run_until(self, condition, limit_s):
        """Advance the time until a condition holds; return the seconds that took."""
        start = self.now
        while not condition():
            if self.now - start > limit_s:
                raise AssertionError(f"not reached within {limit_s} s")
            self.run(TICK_S / 5)
        return self.now - start

    def list_owners(self, shard):
        """Return the slots that may forward a request for a shard now."""
        owners = []
        for slot in self.slots.values():
            if slot.core is None:
                continue
            right = slot.core.context.owned_shards.owned.get(shard)
            if right is None or not right.confirmed_token:
                continue
            if right.holder.is_live(slot.read_clock(self.now)):
                owners.append(slot.name)
        return owners

    def list_owned(self, name):
        """Return the shards that a slot may serve now."""
        return [shard for shard in self.shards if name in self.list_owners(shard)]

    def all_served(self):
        """Return whether every shard has an owner that is not frozen."""
        return all(
            any(not self.slots[name].frozen for name in self.list_owners(shard))
            for shard in self.shards
        )

    def check(self):
        """Raise AssertionError if an invariant is violated; update the outage times."""
        owners = {}
        holders = {}
        for slot in self.slots.values():
            for shard, (_, until_s) in slot.upstream.grants.items():
                if until_s > self.now:
                    self._take_place(holders, shard, slot, "granted")
            if slot.core is not None:
                for shard in self._list_rights(slot):
                    self._take_place(owners, shard, slot, "owned")
        for shard, slot in owners.items():
            if holders.get(shard, slot) is not slot:
                raise AssertionError(f"{shard} at {self.now:.3f}: granted elsewhere")
            if not slot.frozen and shard in self.served_s:
                gap = self.now - self.served_s[shard]
                self.gaps[shard] = max(self.gaps[shard], gap)
                self.served_s[shard] = self.now
        if self.hot_keys:
            self._check_hot_keys()
        if not self.checks_grants:
            self._check_running()

    def _check_hot_keys(self):
        """Raise if two nodes serve a hot key, one of them under its parent shard."""
        for shard in self.hot_keys:
            places = {}
            for slot in self.slots.values():
                if slot.core is None:
                    continue
                if self._locate(slot, shard) in set(self._list_rights(slot)):
                    self._take_place(places, shard, slot, "key served")

    def _locate(self, slot, shard):
        """Return the shard of a hot key according to a node's state."""
        if shard in slot.core.state.shards:
            return shard
        return self.hot_keys.get(shard, shard)

    def _list_rights(self, slot):
        now = slot.read_clock(self.now)
        for shard, right in slot.core.context.owned_shards.owned.items():
            if right.confirmed_token and right.holder.is_live(now):
                if right.epoch < self.activated.get(shard, 0):
                    raise AssertionError(f"{shard}: {slot.name}, epoch {right.epoch}")
                yield shard

    def _take_place(self, places, shard, slot, what):
        other = places.setdefault(shard, slot)
        if other is not slot:
            raise AssertionError(
                f"{shard} at {self.now:.3f}: {what} by {other.name} and {slot.name}"
            )

    def _check_running(self):
        running = {}
        for slot in self.slots.values():
            for shard, count in slot.upstream.running.items():
                if count > 0:
                    self._take_place(running, shard, slot, "run")

    def has_agreement(self):
        """Return whether all nodes have folded the whole log to the same state."""
        expected = dump_state(self.truth)
        cores = [slot.core for slot in self.slots.values() if slot.core is not None]
        return all(dump_state(core.state) == expected for core in cores)

    def check_agreement(self):
        """Raise if the nodes do not reach the state of the whole log within 5 s."""
        self.run_until(self.has_agreement, 5)

    def reset_outages(self):
        """Restart the measurement of outages."""
        self.served_s.clear()
        self.gaps.clear()
        for shard in self.shards:
            self.served_s[shard] = self.now
            self.gaps[shard] = 0.0

    def measure_longest_outage(self):
        """Return the longest time in seconds for which a shard had no owner."""
        open_gaps = [self.now - served for served in self.served_s.values()]
        return max(*self.gaps.values(), *open_gaps)

    def _at(self, delay_s, action):
        heapq.heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def _tick(self, slot, core):
        if slot.core is not core:
            return
        if slot.frozen:
            slot.backlog.append(functools.partial(self._tick, slot, core))
            return
        now = slot.read_clock(self.now)
        self._carry_out(slot, core, core.advance(now))
        if self.now >= slot.plan_due_s:
            slot.plan_due_s = self.now + PLAN_EVERY_S
            self._plan(slot, core)
        if not slot.tail_due:
            slot.tail_due = True
            self._at(self._log_delay(), functools.partial(self._tail, slot, core))
        self._at(self.tick_s, functools.partial(self._tick, slot, core))

    def _request(self, slot, core):
        """Send requests periodically.

        The upstream runs each one to its end, even if the node fails.
        """
        if slot.core is not core or not self.has_requests:
            return
        if slot.frozen:
            slot.backlog.append(functools.partial(self._request, slot, core))
            return
        if self.keyed is not None:
            self.keyed.request(slot, core)
        key = self.random.choice([*self.shards, *self.hot_keys])
        shard = self._locate(slot, key)
        granted = core.authorize(shard, slot.read_clock(self.now))
        if is_successful(granted):
            _, generation = granted.unwrap()
            slot.upstream.running[key] += 1
            duration_s = self.random.random() * self.longest_s
            self._at(duration_s, functools.partial(self._end, slot, key))
            finish = functools.partial(self._finish, slot, core, shard, generation)
            self._at(duration_s, finish)
        self._at(REQUEST_EVERY_S, functools.partial(self._request, slot, core))

    def _end(self, slot, shard):
        slot.upstream.running[shard] -= 1

    def _finish(self, slot, core, shard, generation):
        if slot.core is not core:
            return
        if slot.frozen:
            again = functools.partial(self._finish, slot, core, shard, generation)
            slot.backlog.append(again)
            return
        effects = core.finish(shard, generation, now=slot.read_clock(self.now))
        self._carry_out(slot, core, effects)

    def _log_delay(self):
        return self.log_delay_s * (0.5 + self.random.random())

    def _can_log(self, slot):
        return self.log_up and slot.name not in self.log_cut

    def _tail(self, slot, core):
        if slot.core is not core:
            return
        if slot.frozen:
            slot.backlog.append(functools.partial(self._tail, slot, core))
            return
        slot.tail_due = False
        if not self._can_log(slot):
            return
        position = core.state.next_offset
        self._apply(slot, core, position, self.log[position : position + 500])
        core.caught_up = True

    def _apply(self, slot, core, first, records):
        for offset, record in enumerate(records, first):
            if offset >= core.state.next_offset:
                now = slot.read_clock(self.now)
                _, effects = core.apply_record(offset, record, now=now)
                self._carry_out(slot, core, effects)

    def _plan(self, slot, core):
        planner = find_planner(core.state)
        if not self.plans or (
            core.incarnation != planner and not self.planners_everywhere
        ):
            return
        if not self.log or core.incarnation not in core.state.members:
            return
        repairs = plan_repairs(core.state, limit=self.plan_limit)
        first = plan_first_chains(core.state, self.shards, limit=self.plan_limit)
        if repairs or first:
            record = Assign(
                record_id=core.context.make_record_id(),
                writer=core.incarnation,
                assignments=(*first, *repairs),
            )
            self._append(slot, record)

    def append(self, record):
        """Append a record that no node wrote."""
        self._store(record)

    def _append(self, slot, record):
        if self._can_log(slot):
            self._at(self._log_delay(), functools.partial(self._store, record))

    def _store(self, record):
        if self.log_up:
            self._fold_truth(record)
            self.log.append(record)
            self._wake_tails()

    def _fold_truth(self, record):
        """Fold a record into the expected state and note activated epochs."""
        change = apply_record(self.truth, len(self.log), record)
        if type(record) is Activate:
            for shard in change.shards:
                self.activated[shard] = self.truth.shards[shard].current.epoch

    def _wake_tails(self):
        for slot in self.slots.values():
            if slot.core is not None and not slot.tail_due:
                slot.tail_due = True
                action = functools.partial(self._tail, slot, slot.core)
                self._at(self._log_delay(), action)

    def _carry_out(self, slot, core, effects):
        for effect in effects:
            self._perform(effect, slot, core)

    @functools.singledispatchmethod
    def _perform(self, effect, slot, core):
        raise TypeError(effect)

    @_perform.register
    def _(self, effect: SendMessage, slot, core):
        self._send(core.incarnation, effect.recipient, effect.message)

    @_perform.register
    def _(self, effect: SendRecords, slot, core):
        position = core.state.next_offset
        if effect.stream == OWNERSHIP_STREAM and effect.offset < position:
            records = tuple(self.log[effect.offset : position][:100])
            batch = LogBatch(
                stream=effect.stream, first=effect.offset, payloads=records
            )
            self._send(core.incarnation, effect.recipient, batch)

    @_perform.register
    def _(self, effect: AppendRecord, slot, core):
        self._append(slot, effect.record)

    @_perform.register
    def _(self, effect: GrantShards, slot, core):
        expiry = self.now + (effect.until_s - effect.decided_s) / slot.rate
        self._order(slot, effect.tokens, self._grant, core, effect, expiry)

    @_perform.register
    def _(self, effect: ExtendLease, slot, core):
        expiry = self.now + (effect.until_s - effect.decided_s) / slot.rate
        slot.upstream.extend(effect.lease, expiry, self.now, slot.revoking)

    @_perform.register
    def _(self, effect: RevokeShards, slot, core):
        slot.revoking.update(effect.shards)
        self._order(slot, effect.shards, self._revoke, core, effect)

    def _order(self, slot, shards, action, *arguments):
        """Carry out an upstream call after the earlier ones for the same shards."""
        delay_s = self.order_delays.get(slot.name, 0.0)
        if self.order_delay_s:
            delay_s += self.order_delay_s * self.random.random()
        if not delay_s and not slot.free_s:
            action(slot, *arguments)
            return
        start_s = max([self.now, *(slot.free_s.get(shard, 0.0) for shard in shards)])
        end_s = start_s + delay_s
        slot.free_s.update(dict.fromkeys(shards, end_s))
        self._at(end_s - self.now, functools.partial(action, slot, *arguments))

    def _grant(self, slot, core, effect, expiry):
        if slot.core is not core:
            return
        is_lost = self.order_loss > 0 and self.random.random() < self.order_loss
        done = self.now < expiry and not is_lost
        if done:
            self._check_tokens(slot, effect.tokens)
            slot.upstream.grant(effect.lease, effect.tokens, expiry)
        now = slot.read_clock(self.now)
        confirmed = core.confirm_grant(effect.lease, effect.tokens, done=done, now=now)
        self._carry_out(slot, core, confirmed)

    def _revoke(self, slot, core, effect):
        slot.revoking.subtract(effect.shards)
        if slot.core is not core:
            return
        slot.upstream.revoke(effect.shards)
        now = slot.read_clock(self.now)
        done = core.confirm_revoke(
            effect.revocation_id, effect.shards, done=True, now=now
        )
        self._carry_out(slot, core, done)

    @_perform.register
    def _(self, effect: EmitEvent, slot, core):
        slot.notes.append((self.now, effect))

    @_perform.register
    def _(self, effect: FinishNode, slot, core):
        slot.finished.append((self.now, effect.resigned))
        slot.core = None

    def _check_tokens(self, slot, tokens):
        """Raise if a shard's token does not increase from one owner to the next."""
        for shard, token in tokens.items():
            last, owner = self.last_tokens.get(shard, (0, slot))
            if token < last or (token == last and owner is not slot):
                raise AssertionError(f"{shard}: token {token} after {last}")
            self.last_tokens[shard] = (token, slot)
            self._check_key_tokens(slot, shard, token)

    def _check_key_tokens(self, slot, shard, token):
        """Raise if an upstream gets a hot key with a token not above all others'."""
        for key in self.hot_keys:
            if self._locate(slot, key) != shard:
                continue
            tokens = self.key_tokens.setdefault(key, {})
            for name, known in tokens.items():
                if name != slot.name and token <= known:
                    raise AssertionError(
                        f"{key} at {self.now:.3f}: {slot.name} takes it with {token}, "
                        f"{name} had {known}"
                    )
            tokens[slot.name] = max(token, tokens.get(slot.name, 0))

    def _send(self, sender, recipient, message):
        self.messages += 1
        source, target = sender.split("#")[0], recipient.split("#")[0]
        copies = 2 if self.random.random() < self.duplicate else 1
        for _ in range(copies):
            if (source, target) in self.cut or self.random.random() < self.drop:
                continue
            delay_s = self.latency_s * (0.5 + self.random.random())
            delay_s += self.extra_delay_s * self.random.random()
            delay_s += self.slow.get(source, 0.0) + self.slow.get(target, 0.0)
            action = functools.partial(self._arrive, sender, recipient, message)
            self._at(delay_s, action)

    def _arrive(self, sender, recipient, message):
        slot = self.slots.get(recipient.split("#")[0])
        if slot is None or slot.core is None:
            return
        if slot.frozen:
            action = functools.partial(self._arrive, sender, recipient, message)
            slot.backlog.append(action)
            return
        if slot.core.incarnation != recipient:
            return
        core = slot.core
        if isinstance(message, LogBatch):
            if (
                slot.name not in self.withheld
                and message.first <= core.state.next_offset
            ):
                self._apply(slot, core, message.first, message.payloads)
            return
        now = slot.read_clock(self.now)
        self._carry_out(slot, core, core.receive(sender, message, now=now))
