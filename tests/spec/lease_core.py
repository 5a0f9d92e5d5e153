"""Drives the code's lease core through the steps of the specification.

Each node and each witness is a real :class:`NodeCore`. A step of the specification
becomes the messages and records that stand for it; whatever else the cores send is
lost. Evidence reaches a claimant only by :meth:`LeaseCore.tell`.
"""

import dataclasses

from papayatack.core.identity import LeaseId
from papayatack.core.inventory import Service
from papayatack.core.messages import (
    Fence,
    FenceReply,
    LeaseLapsed,
    Release,
    ReleaseQuery,
    RenewReply,
)
from papayatack.core.ownership.effects import (
    GrantShards,
    RevokeShards,
    SendMessage,
)
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.succession import TOKEN_RESTART_BITS
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Fenced,
)
from spec.protocol import make_token

SERVICE = Service(name="s", prefix="/s", checks_grants=True)
SHARD = "s/r/0"


class LeaseCore:
    """The nodes and witnesses of a setting, with their log."""

    def __init__(self, setting):
        self.setting = setting
        self.now = 0.0
        self.log = []
        self.leases = []
        self.witnesses = []
        self.lost = set()
        self.dead = set()
        nodes = max(setting.nodes) + 1
        names = [f"n{node}" for node in range(nodes)]
        for lease, count in enumerate(setting.witnesses):
            own = tuple(f"w{lease}.{index}" for index in range(count))
            self.witnesses.append(own)
            term = setting.nodes[: lease + 1].count(setting.nodes[lease])
            self.leases.append(LeaseId(names[setting.nodes[lease]], term))
        everybody = names + [name for own in self.witnesses for name in own]
        announcements = {name: make_announcement(name) for name in everybody}
        self.log.extend(announcements.values())
        for lease, own in zip(self.leases, self.witnesses, strict=True):
            self._append(Admit, lease=lease, witnesses=own)
        self.base = len(self.log)
        self._append_move(0)
        self.cores = {
            name: NodeCore(
                announcement=announcement,
                state=OwnershipState(),
                now=0.0,
                find_service=lambda name: SERVICE,
            )
            for name, announcement in announcements.items()
        }
        for core in self.cores.values():
            for _ in range(len(self.log)):
                self.apply(core)
        self.now = 10 * LEASE_DURATION_S
        for node in set(setting.nodes):
            self._renew_alone(self.node(node))

    # What the specification asks of it.

    def node(self, index):
        """Return the core of a node."""
        return self.cores[f"n{index}"]

    def holder(self, lease):
        """Return the holder of a lease."""
        core = self.node(self.setting.nodes[lease])
        return core.context.holders[self.leases[lease]]

    def find_token(self, lease):
        """Return the specification's token under which a holder serves, if it does."""
        node = self.setting.nodes[lease]
        right = self.node(node).context.owned_shards.owned.get(SHARD)
        if node in self.dead or right is None:
            return None
        if right.holder.lease != self.leases[lease]:
            return None
        if not right.holder.is_live(self.now):
            return None
        position = right.target_token >> TOKEN_RESTART_BITS & 0xFF
        return make_token(right.epoch, position)

    def find_claim(self, node):
        """Return the lease under which a node holds a right, with its epoch."""
        right = self.node(node).context.owned_shards.owned.get(SHARD)
        if right is None:
            return None
        return self.leases.index(right.holder.lease), right.epoch

    def list_witnesses(self, lease):
        """Return what each witness that is not lost keeps, with its name."""
        found = []
        for name in self.witnesses[lease]:
            if name not in self.lost:
                found.append((self.describe_witness(lease, name), name))
        return sorted(found)

    def describe_witness(self, lease, name):
        """Return what one witness keeps, as in the specification.

        That is its promise, floor and fence, and whether it has departed.
        """
        promise = self._read_promise(lease, name)
        promised = promise.expires_s > self.now and not promise.fenced
        floor = max(promise.floor - self.base, 0)
        if promise.is_permanent:
            return 1, max(self._find_counted_floor(lease, name), floor), False, True
        return int(promised), floor, promise.fenced, False

    def _find_counted_floor(self, lease, name):
        """Return the floor that a holder counts for a witness that has left."""
        holder = self.holder(lease)
        return holder.sent_floor - self.base if name in holder.departed else 0

    def _read_promise(self, lease, name):
        witnessing = self.cores[name].context.witnessing
        return witnessing._promises[self.leases[lease]]

    # Steps.

    def tick(self):
        """Let the longest promise run out that does so."""
        self.now += LEASE_DURATION_S
        for node in set(self.setting.nodes) - self.dead:
            self._renew_alone(self.node(node))

    def append_move(self, epoch):
        """Append the record that makes an epoch."""
        self._append_move(epoch - 1)

    def append_activation(self, lease, epoch):
        """Append an owner's activation."""
        activation = Activation(shard=SHARD, epoch=epoch, owner=self.leases[lease])
        self._append(Activate, activations=(activation,))

    def append_supersession(self, lease):
        """Append the announcement of a new process at a node's address."""
        old = self.leases[lease].incarnation
        record = dataclasses.replace(
            make_announcement(old),
            record_id=f"again {old}",
            incarnation=f"{old}'",
            supersedes=old,
        )
        self.log.append(record)

    def append_fence(self, lease, floor):
        """Append the record that a lease is fenced."""
        self._append(Fenced, lease=self.leases[lease], floor=self.base + floor)

    def apply(self, core):
        """Let a core fold its next record."""
        offset = core.state.next_offset
        _, effects = core.apply_record(offset, self.log[offset], now=self.now)
        self._perform(core, effects)

    def renew(self, lease, name):
        """Renew a lease at one witness."""
        core = self.node(self.setting.nodes[lease])
        holder = self.holder(lease)
        message = holder.renew(
            now=self.now,
            floor=core.context.owned_shards.find_floor(),
            config_offset=0,
            ownership_offset=core.state.next_offset,
        )
        message = dataclasses.replace(message, heard=message.round)
        for answer in self._send(name, core.incarnation, message):
            if type(answer) is RenewReply:
                self._perform(core, core.receive(name, answer, now=self.now))

    def depart(self, lease, name):
        """Let a witness begin to leave, and renew a lease at it."""
        self.cores[name].context.witnessing.is_leaving = True
        self.renew(lease, name)

    def _renew_alone(self, core):
        """Renew a node's leases that need no witness's answer for it.

        These are the leases of which a witness has left, and those without witnesses,
        which never lapse in the specification as their holders renew them in time.
        """
        for holder in core.context.holders.values():
            if holder.renews_alone and not holder.ended:
                core._renew(holder, holder.sent_floor, self.now)
        self.settle(core)

    def fence(self, lease, name, *, resigned):
        """Ask a witness to fence a lease."""
        sender = self.leases[lease].incarnation if resigned else "x"
        self._send(name, sender, Fence(lease=self.leases[lease], resigned=resigned))

    def learn(self, name, length):
        """Let a witness fold the log up to a length."""
        while self.cores[name].state.next_offset < self.base + length:
            self.apply(self.cores[name])

    def resign(self, lease):
        """End a lease by its holder's will and tell every other node."""
        core = self.node(self.setting.nodes[lease])
        self.holder(lease).end()
        core.claims.recheck_lease(self.leases[lease])
        self.settle(core)
        word = FenceReply(
            lease=self.leases[lease],
            fenced=True,
            floor=core.state.next_offset,
            remaining_us=0,
            drained=True,
        )
        for node in set(self.setting.nodes) - self.dead:
            other = self.node(node)
            if other is not core:
                effects = other.receive(core.incarnation, word, now=self.now)
                self._perform(other, effects)

    def tell(self, node):
        """Give a claimant all evidence of other holders that there is."""
        claimant = self.node(node)
        for lease, lease_id in enumerate(self.leases):
            if lease_id.incarnation == claimant.incarnation:
                self._tell_own_fences(lease)
                continue
            for name in self.witnesses[lease]:
                message = LeaseLapsed(lease=lease_id)
                self._receive(claimant, name, message)
            for _, name in self.list_witnesses(lease):
                if self._read_promise(lease, name).fenced:
                    fence = Fence(lease=lease_id)
                    for answer in self._send(name, claimant.incarnation, fence):
                        self._receive(claimant, name, answer)
            self._ask_release(claimant, lease)

    def _tell_own_fences(self, lease):
        """Let a holder renew where its lease is fenced, and so learn of it."""
        for _, name in self.list_witnesses(lease):
            ended = self.holder(lease).ended
            if self._read_promise(lease, name).fenced and not ended:
                self.renew(lease, name)

    def _ask_release(self, claimant, lease):
        if self.setting.nodes[lease] in self.dead:
            return
        entry = claimant.state.shards[SHARD]
        lease_id = self.leases[lease]
        for epoch in range(2, entry.current.epoch + 1):
            query = ReleaseQuery(
                asker=LeaseId(claimant.incarnation, 1),
                lease=lease_id,
                shards=(SHARD,),
                epochs=(epoch,),
            )
            for answer in self._send(lease_id.incarnation, claimant.incarnation, query):
                if type(answer) is Release:
                    self._receive(claimant, lease_id.incarnation, answer)

    def settle(self, core):
        """Let a core examine what has changed."""
        effects = core.confirm_grant(
            LeaseId(core.incarnation, 1), {}, done=True, now=self.now
        )
        self._perform(core, effects)

    # Plumbing.

    def _append(self, record_class, **fields):
        record_id = f"r{len(self.log)}"
        self.log.append(record_class(record_id=record_id, writer="x", **fields))

    def _append_move(self, base_epoch):
        chain = tuple(self.leases[lease] for lease in self.setting.chains[base_epoch])
        assignment = Assignment(shard=SHARD, base_epoch=base_epoch, chain=chain)
        self._append(Assign, assignments=(assignment,))

    def _send(self, name, sender, message):
        """Deliver a message and return what was answered to its sender."""
        core = self.cores[name]
        effects = core.receive(sender, message, now=self.now)
        answers = [
            effect.message
            for effect in effects
            if type(effect) is SendMessage and effect.recipient == sender
        ]
        self._perform(core, effects)
        return answers

    def _receive(self, core, sender, message):
        self._perform(core, core.receive(sender, message, now=self.now))

    def _perform(self, core, effects):
        """Answer for the upstream at once; lose all messages."""
        for effect in effects:
            if type(effect) is RevokeShards:
                more = core.confirm_revoke(
                    effect.revocation_id, tuple(effect.shards), done=True, now=self.now
                )
                self._perform(core, more)
            elif type(effect) is GrantShards:
                tokens = dict(effect.tokens)
                more = core.confirm_grant(effect.lease, tokens, done=True, now=self.now)
                self._perform(core, more)


def make_announcement(name):
    """Return the announcement of a node or witness."""
    return Announce(
        record_id=f"announce {name}",
        writer=name,
        incarnation=name,
        address=name,
        operator_address="",
        data_centre="d",
        region="r",
        service="s",
        upstream="",
        slots=1,
        connections=1,
    )
