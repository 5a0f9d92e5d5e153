"""The shards that one node serves, stops serving, and releases."""

import dataclasses
from collections.abc import Callable

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.effects import RevokeShards
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.state import Chain, OwnershipState
from papayatack.core.shards import is_hot_shard

__all__ = ["DrainingShard", "PreviousOwner", "HotKeyMerge", "OwnedShard", "OwnedShards"]

MERGE_RETENTION_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreviousOwner:
    """The node that alone served a shard until it released it.

    Attributes:
        incarnation: The node.
        epoch: Epoch under which it must have served.
    """

    incarnation: IncarnationId
    epoch: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OwnedShard:
    """Permission to serve one shard while the lease is live.

    Attributes:
        holder: The lease under which it is served.
        epoch: Epoch of the chain under which it is served.
        wanted_token: Token of the grant that the upstream is to have.
        token: Token of the newest grant that the upstream confirmed, 0 for none.
        asked: The upstream has been asked for the wanted grant.
        revocation: Number of the revocation under way of a grant that a newer lease of
            this node is to replace, 0 for none.
        tenure: Number, new on this node whenever another node may have owned the
            shard in between.
        since_s: When the tenure began.
        is_first: No node had owned the shard before the tenure.
        parent_tenure: For a hot key, the tenure here of the parent from which it
            came; ``None`` if it came from elsewhere.
        origin: Who released the shard to this node, if it was served by one node.
        handover: With what the upstream takes the shard over warm, empty for nothing.
    """

    holder: LeaseHolder
    epoch: int
    target_token: int
    confirmed_token: int = 0
    is_requested: bool = False
    revocation_id: int = 0
    tenure_number: int = 0
    since_s: float = float("-inf")
    is_first: bool = False
    parent_tenure_number: int | None = None
    previous_owner: PreviousOwner | None = None
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HotKeyMerge:
    """A hot key's return to its parent.

    Attributes:
        at_s: When this node learned of it.
        right: Right under which this node served the key until then, if it served
            the parent as well; ``None`` otherwise.
        tenure: Number that stands for what this node does not know of the key.
    """

    merged_s: float
    owned: OwnedShard | None
    tenure_number: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class DrainingShard:
    """A shard that was taken away, while its requests finish.

    Attributes:
        holder: The lease under which it was served.
        floor_limit: The floor stays at most here until the shard is drained.
        revocation: Number of the revocation under way, 0 for none.
    """

    holder: LeaseHolder
    floor_limit: int
    revocation_id: int = 0


class OwnedShards:
    """Rights of one node, its requests in flight, and what it is draining."""

    def __init__(self, *, state: OwnershipState) -> None:
        self._state = state
        self.owned: dict[ShardId, OwnedShard] = {}
        self.in_flight: dict[ShardId, int] = {}
        self.draining: dict[ShardId, DrainingShard] = {}
        self.handovers: dict[ShardId, str] = {}
        self._transferred: dict[ShardId, list[OwnedShard]] = {}
        self._merges: dict[ShardId, HotKeyMerge] = {}
        self.formerly_owned: dict[ShardId, OwnedShard] = {}
        self._last_tenure = 0
        self._last_revocation = 0
        self._overlaps: dict[ShardId, dict[ShardId, tuple[float, int]]] = {}
        self._generations: dict[ShardId, int] = {}
        self._in_flight_by_generation: dict[tuple[ShardId, int], int] = {}

    def note_overlap(self, shard: ShardId, other: ShardId, until_s: float) -> None:
        """Note that requests for keys of one shard may be in flight as the other's.

        Only those that have begun by now can be: what begins later bears the right
        name.

        Args:
            shard: One shard.
            other: The other.
            until_s: Time by which the requests that had begun before have ended.
        """
        for first, second in ((shard, other), (other, shard)):
            generation = self._generations.get(second, 0)
            self._overlaps.setdefault(first, {})[second] = (until_s, generation)
        for first in (shard, other):
            self._generations[first] = self._generations.get(first, 0) + 1

    def is_busy(self, shard: ShardId, now: float) -> bool:
        """Tell whether requests for keys of a shard may be in flight."""
        if shard in self.in_flight:
            return True
        others = self._overlaps.get(shard)
        if others is None:
            return False
        for other, (until_s, generation) in list(others.items()):
            if until_s <= now or not self._has_begun(other, generation):
                del others[other]
        if not others:
            del self._overlaps[shard]
        return bool(others)

    def _has_begun(self, shard: ShardId, generation: int) -> bool:
        """Tell whether a request of this generation or before is in flight."""
        return any(
            known == shard and number <= generation
            for known, number in self._in_flight_by_generation
        )

    def begin_request(self, shard: ShardId) -> int:
        """Count a request in; return its generation, for :meth:`finish`."""
        generation = self._generations.get(shard, 0)
        self.in_flight[shard] = self.in_flight.get(shard, 0) + 1
        entry = (shard, generation)
        self._in_flight_by_generation[entry] = (
            self._in_flight_by_generation.get(entry, 0) + 1
        )
        return generation

    def finish_request(self, shard: ShardId, generation: int) -> bool:
        """Count a request out; return whether the shard has none left."""
        entry = (shard, generation)
        same = self._in_flight_by_generation.get(entry, 0) - 1
        if same > 0:
            self._in_flight_by_generation[entry] = same
        else:
            self._in_flight_by_generation.pop(entry, None)
        left = self.in_flight.get(shard, 0) - 1
        if left > 0:
            self.in_flight[shard] = left
            return False
        self.in_flight.pop(shard, None)
        return True

    def acquire(
        self,
        shard: ShardId,
        holder: LeaseHolder,
        epoch: int,
        token: int,
        *,
        now: float,
        previous_owner: PreviousOwner | None = None,
        is_first: bool = False,
        handover: str = "",
    ) -> None:
        """Hold a right; the upstream is to be asked for a grant unless it has it."""
        self.draining.pop(shard, None)
        self.handovers.pop(shard, None)
        owned = self.owned.get(shard)
        if owned is None or owned.holder is not holder:
            self.owned[shard] = self._assign_tenure(
                owned or self._find_transferred(shard),
                OwnedShard(
                    holder=holder,
                    epoch=epoch,
                    target_token=token,
                    since_s=now,
                    previous_owner=previous_owner,
                    is_first=is_first,
                    handover=handover,
                ),
            )
            return
        owned.epoch = epoch
        if owned.target_token != token:
            owned.target_token = token
            owned.is_requested = False

    def _assign_tenure(self, last: OwnedShard | None, owned: OwnedShard) -> OwnedShard:
        """Go on with the tenure of the last right, unless that lease has ended."""
        if last is not None and not last.holder.ended:
            owned.tenure_number = last.tenure_number
            owned.since_s = last.since_s
            owned.is_first = last.is_first
            owned.parent_tenure_number = last.parent_tenure_number
            owned.previous_owner = last.previous_owner
        else:
            self._last_tenure += 1
            owned.tenure_number = self._last_tenure
        return owned

    def _find_transferred(self, shard: ShardId) -> OwnedShard | None:
        """Return the newest right under an older lease whose grant may stand."""
        transferred = self._transferred.get(shard)
        return transferred[-1] if transferred else None

    def note_split(self, shard: ShardId, parent: ShardId, now: float) -> None:
        """Note from which tenure of the parent a new hot shard's key came.

        A key that returned a short while ago may have come from elsewhere.
        """
        if shard not in self._state.shards:
            return
        merge = self._merges.pop(shard, None)
        owned, parent_owned = self.owned.get(shard), self.owned.get(parent)
        recent = merge is not None and now < merge.merged_s + MERGE_RETENTION_S
        if owned is not None and parent_owned is not None and not recent:
            owned.parent_tenure_number = parent_owned.tenure_number

    def note_merge(self, shard: ShardId, parent: ShardId, now: float) -> None:
        """Note under which right a hot key was served before it returns."""
        for old in [
            other
            for other, merge in self._merges.items()
            if merge.merged_s + MERGE_RETENTION_S <= now
        ]:
            del self._merges[old]
        owned = self.owned.get(shard) if parent in self.owned else None
        self._last_tenure += 1
        self._merges[shard] = HotKeyMerge(
            merged_s=now, owned=owned, tenure_number=self._last_tenure
        )

    def find_formerly_owned(self, shard: ShardId, now: float) -> OwnedShard | None:
        """Return the last right of a shard that is not served here any more.

        ``None`` if a key of its range has returned from its own shard a short while
        ago: outcomes of that key may be elsewhere.
        """
        busy = shard in self.owned or shard in self.in_flight
        prefix, _, _ = shard.rpartition("/")
        was_merged = any(
            other.startswith(f"{prefix}/") and now < merge.merged_s + MERGE_RETENTION_S
            for other, merge in self._merges.items()
        )
        if busy or was_merged or shard in self.draining:
            return None
        return self.formerly_owned.get(shard)

    def find_merge(self, shard: ShardId) -> HotKeyMerge | None:
        """Return what is noted of a hot key's return."""
        return self._merges.get(shard)

    def stop_serving(self, shard: ShardId, *, drains: bool) -> bool:
        """Admit no more requests for a shard; return whether it was served.

        Args:
            shard: The shard.
            drains: The floor is held back until its requests have finished. Not so if
                the next owner is another lease of this node.
        """
        owned = self.owned.pop(shard, None)
        if not drains:
            if owned is not None:
                self._transferred.setdefault(shard, []).append(owned)
            return owned is not None
        entries = [*self._transferred.pop(shard, ())]
        if owned is not None:
            entries.append(owned)
        if not entries:
            return False
        if not is_hot_shard(shard):
            self.formerly_owned[shard] = entries[-1]
        if shard not in self.draining:
            floor_limit = self._find_limit(shard, entries[0].epoch)
            holder = self._pop_newest(entries).holder
            self.draining[shard] = DrainingShard(holder=holder, floor_limit=floor_limit)
        unended = [old for old in entries if not old.holder.ended]
        if unended:
            self._transferred[shard] = unended
        return owned is not None

    def _pop_newest(self, entries: list[OwnedShard]) -> OwnedShard:
        """Take out the right under whose lease a taken shard is to be revoked.

        The newest that lives, whose grant may stand though it was never confirmed;
        older ones that live as well are revoked beside it.
        """
        unended = [owned for owned in entries if not owned.holder.ended]
        newest = unended[-1] if unended else entries[-1]
        entries.remove(newest)
        return newest

    def _find_limit(self, shard: ShardId, epoch: int) -> int:
        """Return the offset of the record that replaced the chain of ``epoch``."""
        entry = self._state.shards.get(shard)
        chains: tuple[Chain, ...] = entry.list_chains() if entry is not None else ()
        later = [chain.start_offset - 1 for chain in chains if chain.epoch > epoch]
        return min(later, default=self._state.next_offset - 1)

    def find_floor(self) -> int:
        """Return the position up to which all taken shards are drained."""
        limits = (draining.floor_limit for draining in self.draining.values())
        return min(limits, default=self._state.next_offset)

    def collect_grants(self, now: float) -> dict[LeaseId, dict[ShardId, int]]:
        """Return the grants that the upstream is to be asked for, by live lease."""
        found: dict[LeaseId, dict[ShardId, int]] = {}
        for shard, owned in self.owned.items():
            if not owned.is_requested and owned.holder.is_live(now):
                owned.is_requested = True
                found.setdefault(owned.holder.lease, {})[shard] = owned.target_token
        return found

    def confirm_grant(
        self, lease: LeaseId, shard: ShardId, token: int, *, done: bool
    ) -> None:
        """Take in the upstream's answer to a grant; one that failed is asked again."""
        owned = self.owned.get(shard)
        if owned is None or owned.holder.lease != lease:
            return
        if owned.target_token == token and done:
            owned.confirmed_token = token
            owned.handover = ""
            self._transferred.pop(shard, None)
        elif owned.target_token == token:
            owned.is_requested = False

    def reset_grants(self, holder: LeaseHolder) -> None:
        """Ask the upstream again for all grants of a lease."""
        for owned in self.owned.values():
            if owned.holder is holder:
                owned.confirmed_token = 0
                owned.is_requested = False

    @property
    def has_transfers(self) -> bool:
        """Tell whether the upstream may hold a grant under an older lease here."""
        return bool(self._transferred)

    def collect_revocations(self, now: float) -> list[RevokeShards]:
        """Revoke the shards whose requests have finished but whose grant stands.

        The grants of an ended lease are extended no more and need no revocation. Nor
        does the grant of an older lease of this node, which that of the newer one
        replaces; unless the newer one has run out before.
        """
        found: dict[LeaseId, list[tuple[ShardId, OwnedShard | DrainingShard]]] = {}
        for shard in list(self._transferred):
            owned = self.owned.get(shard)
            if owned is None:
                self._filter_transferred(shard, lambda old: not old.holder.ended)
            elif owned.holder.is_live(now):
                continue
            for old in self._transferred.get(shard, ()):
                if not old.revocation_id:
                    found.setdefault(old.holder.lease, []).append((shard, old))
        for shard, draining in list(self.draining.items()):
            if draining.revocation_id or self.is_busy(shard, now):
                continue
            if draining.holder.ended:
                del self.draining[shard]
                continue
            found.setdefault(draining.holder.lease, []).append((shard, draining))
        return [self._revoke(lease, entries) for lease, entries in found.items()]

    def _filter_transferred(
        self, shard: ShardId, is_kept: Callable[[OwnedShard], bool]
    ) -> None:
        """Forget the other rights under older leases."""
        kept = [old for old in self._transferred[shard] if is_kept(old)]
        if kept:
            self._transferred[shard] = kept
        else:
            del self._transferred[shard]

    def _revoke(
        self, lease: LeaseId, entries: list[tuple[ShardId, OwnedShard | DrainingShard]]
    ) -> RevokeShards:
        """Return a new revocation, whose answer counts for these entries alone."""
        self._last_revocation += 1
        for _, entry in entries:
            entry.revocation_id = self._last_revocation
        shards = tuple(dict.fromkeys(shard for shard, _ in entries))
        return RevokeShards(
            revocation_id=self._last_revocation, lease=lease, shards=shards
        )

    def confirm_revocation(
        self, number: int, shard: ShardId, *, done: bool, handover: str = ""
    ) -> None:
        """Take in the upstream's answer to the revocation of a number.

        The shard may have been granted again and revoked again meanwhile; the answer
        says nothing of that.
        """
        transferred = self._transferred.get(shard, [])
        draining = self.draining.get(shard)
        known: list[OwnedShard | DrainingShard] = [*transferred]
        if draining is not None:
            known.append(draining)
        answered = [entry for entry in known if entry.revocation_id == number]
        for entry in answered:
            entry.revocation_id = 0
        if not done or not answered:
            return
        if draining in answered:
            del self.draining[shard]
        if transferred:
            self._filter_transferred(shard, lambda old: old not in answered)
        if handover and shard not in self.owned:
            self.handovers[shard] = handover

    def can_release(
        self,
        holder: LeaseHolder,
        shard: ShardId,
        epoch: int,
        *,
        now: float,
        to_self: bool = False,
    ) -> bool:
        """Tell whether nothing under ``holder`` serves a shard before ``epoch``.

        Args:
            holder: A lease of this node.
            shard: The shard.
            epoch: Epoch of the chain that waits for the release.
            now: Time of the event loop.
            to_self: That chain's claimant is another lease of this node; requests in
                flight go on under it.
        """
        entry = self._state.shards.get(shard)
        if entry is None or entry.current.epoch < epoch or shard in self.draining:
            return False
        owned = self.owned.get(shard)
        if owned is not None and owned.epoch < epoch:
            return False
        if not to_self:
            transferred = self._transferred.get(shard, ())
            if any(not old.holder.ended for old in transferred):
                return False
            if owned is None and self.is_busy(shard, now):
                return False
        since = min(
            chain.start_offset for chain in entry.list_chains() if chain.epoch >= epoch
        )
        return holder.confirmed_floor >= since
