"""Keyed requests to a fleet of node cores; each key may run at most once."""

import collections
import functools

from returns.pipeline import is_successful

from papayatack.control.outcomes import OutcomeTransport
from papayatack.core.errors import Outcome
from papayatack.core.idempotency import (
    IdempotencyRegistry,
    IdempotencyStore,
    OutcomeExchange,
    Refuse,
    Run,
    format_token,
)
from papayatack.core.messages import OutcomePart
from papayatack.core.ownership.tenures import find_key_tenure

LONGEST_QUEUE_S = 0.4
LONGEST_DELAY_S = 0.1
LOST_SHARE = 0.1
REPEAT_SHARE = 0.6
RECENT_KEYS = 800


class KeyedTraffic:
    """Callers that repeat their requests unchanged, including the first-attempt token.

    The first-attempt token of a new request is the last one that callers received. No
    key may ever run twice.
    """

    def __init__(self, *, fleet, hot, parent):
        self._fleet = fleet
        self._related = {hot: parent, parent: hot}
        self._hot = hot
        self._registries = {}
        self._transports = {}
        self.completed_handovers = 0
        self.refused_new = 0
        self.lost_share = LOST_SHARE
        self._recent = collections.deque(maxlen=RECENT_KEYS)
        self._last_token = ""
        self._keys = 0
        self.runs = collections.Counter()
        self.decisions = collections.Counter()

    def _find_registry(self, slot, core):
        """Return a node's idempotency registry, which is lost with its process."""
        if core not in self._registries:
            registry = self._registries[core] = IdempotencyRegistry(
                store=IdempotencyStore()
            )
            transport = OutcomeTransport(
                owned_shards=core.context.owned_shards,
                send=functools.partial(self._send, core),
            )
            transport.exchange = OutcomeExchange(registry=registry)
            self._transports[core] = transport
        return self._registries[core]

    def _send(self, core, recipient, message):
        """Deliver an outcome message, possibly late, twice or not at all."""
        fleet = self._fleet
        if fleet.random.random() < self.lost_share:
            return
        for _ in range(fleet.random.choice([1, 1, 2])):
            delay_s = fleet.random.random() * LONGEST_DELAY_S
            fleet._at(
                delay_s,
                functools.partial(self._deliver, core.incarnation, recipient, message),
            )

    def _deliver(self, sender, recipient, message):
        fleet = self._fleet
        for slot in fleet.slots.values():
            core = slot.core
            if core is None or core.incarnation != recipient or slot.frozen:
                continue
            self._find_registry(slot, core)
            now = slot.read_clock(fleet.now)
            self.completed_handovers += (
                isinstance(message, OutcomePart) and message.last
            )
            self._transports[core].receive(message, sender, now)

    def request(self, slot, core):
        """Send one request to a node, which may not own its key."""
        random = self._fleet.random
        self._find_registry(slot, core)
        self._transports[core].send_queries(slot.read_clock(self._fleet.now))
        if self._recent and random.random() < REPEAT_SHARE:
            key, first_attempt_token = random.choice(self._recent)
        else:
            self._keys += 1
            key, first_attempt_token = f"key-{self._keys}", self._last_token
            self._recent.append((key, first_attempt_token))
        owned = self._find_tenure(slot, core)
        if owned is None:
            return
        now = slot.read_clock(self._fleet.now)
        registry = self._find_registry(slot, core)
        key_shard, decision = registry.begin(
            now, owned, key, b"f", first_attempt_token=first_attempt_token
        )
        self.decisions[type(decision).__name__] += 1
        if isinstance(decision, Refuse) and decision.token is not None:
            self._last_token = format_token(key_shard, decision.token)
            self.refused_new += 1
        if isinstance(decision, Run):
            run = functools.partial(
                self._run, slot, core, key_shard, key, owned.current.number
            )
            self._fleet._at(random.random() * LONGEST_QUEUE_S, run)

    def _find_tenure(self, slot, core):
        shard = self._fleet._locate(slot, self._hot)
        owned_shards = core.context.owned_shards
        return find_key_tenure(owned_shards, shard, self._related[shard])

    def _run(self, slot, core, key_shard, key, tenure):
        """Leave the queue; authorize and run the request if the tenure is unchanged."""
        fleet = self._fleet
        if slot.core is not core:
            return
        if slot.frozen:
            again = functools.partial(self._run, slot, core, key_shard, key, tenure)
            slot.backlog.append(again)
            return
        now = slot.read_clock(fleet.now)
        owned = self._find_tenure(slot, core)
        is_unchanged = owned is not None and owned.current.number == tenure
        shard = fleet._locate(slot, self._hot)
        granted = core.authorize(shard, now) if is_unchanged else None
        if granted is None or not is_successful(granted):
            self._complete(slot, core, key_shard, key, Outcome.NOT_RUN)
            return
        _, generation = granted.unwrap()
        self.runs[key] += 1
        if self.runs[key] > 1:
            raise AssertionError(f"{key} ran twice, at {slot.name} at {fleet.now:.3f}")
        outcome = fleet.random.choice([Outcome.ANSWERED, Outcome.UNKNOWN])
        duration_s = fleet.random.random() * fleet.longest_s
        finish = functools.partial(fleet._finish, slot, core, shard, generation)
        fleet._at(duration_s, finish)
        complete = functools.partial(
            self._complete, slot, core, key_shard, key, outcome
        )
        fleet._at(duration_s, complete)

    def _complete(self, slot, core, key_shard, key, outcome):
        now = slot.read_clock(self._fleet.now)
        self._registries[core].complete(now, key_shard, key, outcome=outcome)
