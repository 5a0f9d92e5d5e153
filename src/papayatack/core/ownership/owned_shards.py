"""The shards that one node owns, drains or has released."""

import dataclasses
from collections.abc import Callable

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.effects import RevokeShards
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.state import Chain, OwnershipState
from papayatack.core.shards import is_hot_shard

__all__ = ["DrainingShard", "PreviousOwner", "HotKeyMerge", "OwnedShard", "OwnedShards"]

MERGE_RETENTION_S = 600.0
"""Time for which the merge of a hot key's shard into its parent is remembered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreviousOwner:
    """The node that alone served a shard last and released it to this node.

    Attributes:
        incarnation: The previous owner.
        epoch: Epoch of the chain under which it served the shard.
    """

    incarnation: IncarnationId
    epoch: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OwnedShard:
    """A shard that the node may serve while its lease is live.

    Attributes:
        holder: Lease under which the shard is served.
        epoch: Epoch of the chain under which the shard is served.
        target_token: Token of the grant that the upstream should hold.
        confirmed_token: Token of the newest grant that the upstream confirmed, 0 for
            none.
        is_requested: Whether the grant with the target token has been requested from
            the upstream.
        revocation_id: Id of the pending revocation of this grant, which a newer lease
            of this node is to replace; 0 for none.
        tenure_number: Number of the tenure. A new tenure begins on this node whenever
            another node may have owned the shard in between.
        since_s: Time at which the tenure began.
        is_first: Whether no node had owned the shard before the tenure.
        parent_tenure_number: For a hot key's shard, the tenure on this node of the
            parent from which it was split; ``None`` if it came from elsewhere.
        previous_owner: The node that alone served the shard last and released it to
            this one; ``None`` if there is none or it is not known.
        handover: State sent to the upstream with the grant, so that it starts with a
            warm shard; empty for none.
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
    """The merge of a hot key's shard into its parent.

    Attributes:
        merged_s: Time at which this node learned of the merge.
        owned: How this node owned the hot key's shard until then, if it served the
            parent as well; ``None`` otherwise.
        tenure_number: Number of the placeholder tenure for the part of the key's
            history that is unknown to this node.
    """

    merged_s: float
    owned: OwnedShard | None
    tenure_number: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class DrainingShard:
    """A shard that was taken from this node and whose requests are finishing.

    Attributes:
        holder: Lease under which the shard was served.
        floor_limit: Upper limit of the floor until the shard is drained.
        revocation_id: Id of the pending revocation, 0 for none.
    """

    holder: LeaseHolder
    floor_limit: int
    revocation_id: int = 0


class OwnedShards:
    """The shards that one node owns or drains, and their requests in flight.

    Args:
        state: State folded from the ownership stream.

    Attributes:
        owned: Shards that the node may serve while their leases are live.
        in_flight: Number of requests in flight by shard; shards with none are left out.
        draining: Shards taken from the node that it has not finished draining.
        handovers: State that the upstream returned when a shard was revoked, for the
            next owner.
        formerly_owned: How the node last owned each shard that was taken from it,
            except for hot keys' shards.
    """

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
        """Note that requests in flight may count towards the wrong shard of a pair.

        A request for a key of one shard may have been counted as one of the other. This
        affects requests that have already begun; later ones carry the right shard.

        Args:
            shard: One shard.
            other: The other shard.
            until_s: Time by which all requests that have already begun have ended.
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
        """Tell whether a request of this or an earlier generation is in flight."""
        return any(
            known == shard and number <= generation
            for known, number in self._in_flight_by_generation
        )

    def begin_request(self, shard: ShardId) -> int:
        """Count a request; return its generation for :meth:`finish_request`."""
        generation = self._generations.get(shard, 0)
        self.in_flight[shard] = self.in_flight.get(shard, 0) + 1
        entry = (shard, generation)
        self._in_flight_by_generation[entry] = (
            self._in_flight_by_generation.get(entry, 0) + 1
        )
        return generation

    def finish_request(self, shard: ShardId, generation: int) -> bool:
        """Uncount a finished request; return whether the shard has none left."""
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
        """Own a shard under a lease; request its grant unless already requested."""
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
        """Continue the last tenure unless its lease has ended; else begin a new one."""
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
        """Return the newest entry under an older lease whose grant may be valid."""
        transferred = self._transferred.get(shard)
        return transferred[-1] if transferred else None

    def note_split(self, shard: ShardId, parent: ShardId, now: float) -> None:
        """Note the tenure of the parent from which a new hot key's shard was split.

        No parent is noted if the key was merged within :data:`MERGE_RETENTION_S`, since
        its shard may then have come from elsewhere.
        """
        if shard not in self._state.shards:
            return
        merge = self._merges.pop(shard, None)
        owned, parent_owned = self.owned.get(shard), self.owned.get(parent)
        recent = merge is not None and now < merge.merged_s + MERGE_RETENTION_S
        if owned is not None and parent_owned is not None and not recent:
            owned.parent_tenure_number = parent_owned.tenure_number

    def note_merge(self, shard: ShardId, parent: ShardId, now: float) -> None:
        """Note how a hot key's shard was owned before it merges into its parent."""
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
        """Return how the node last owned a shard that it does not serve any more.

        Returns ``None`` while the shard is served, draining or has requests in flight.
        Also returns ``None`` if a key of its range was merged into it within
        :data:`MERGE_RETENTION_S`, since outcomes of that key may be on other nodes.
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
        """Return the last merge of a hot key's shard, ``None`` if not remembered."""
        return self._merges.get(shard)

    def stop_serving(self, shard: ShardId, *, drains: bool) -> bool:
        """Admit no more requests for a shard; return whether it was served.

        Args:
            shard: The shard.
            drains: Whether to hold the floor back until the shard's requests have
                finished; false if the next owner is another lease of this node.
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
        """Remove and return the entry under whose lease a taken shard is to be revoked.

        This is the newest one whose lease has not ended: its grant may be valid even
        though it was never confirmed. Older entries whose leases have not ended are
        revoked separately.
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
        """Return the offset up to which all taken shards are drained."""
        limits = (draining.floor_limit for draining in self.draining.values())
        return min(limits, default=self._state.next_offset)

    def collect_grants(self, now: float) -> dict[LeaseId, dict[ShardId, int]]:
        """Return the grants to request from the upstream now, by live lease."""
        found: dict[LeaseId, dict[ShardId, int]] = {}
        for shard, owned in self.owned.items():
            if not owned.is_requested and owned.holder.is_live(now):
                owned.is_requested = True
                found.setdefault(owned.holder.lease, {})[shard] = owned.target_token
        return found

    def confirm_grant(
        self, lease: LeaseId, shard: ShardId, token: int, *, done: bool
    ) -> None:
        """Process the upstream's answer to a grant; a failed one is requested again."""
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
        """Mark all grants of a lease as to be requested from the upstream again."""
        for owned in self.owned.values():
            if owned.holder is holder:
                owned.confirmed_token = 0
                owned.is_requested = False

    @property
    def has_transfers(self) -> bool:
        """Whether the upstream may hold a grant under an older lease of this node."""
        return bool(self._transferred)

    def collect_revocations(self, now: float) -> list[RevokeShards]:
        """Return revocations of grants that outlast the requests of their shards.

        Grants of an ended lease are no longer extended and need no revocation. Neither
        does the grant of an older lease of this node, because the newer lease's grant
        replaces it, unless the newer lease has expired before that.
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
        """Drop a shard's entries under older leases that ``is_kept`` rejects."""
        kept = [old for old in self._transferred[shard] if is_kept(old)]
        if kept:
            self._transferred[shard] = kept
        else:
            del self._transferred[shard]

    def _revoke(
        self, lease: LeaseId, entries: list[tuple[ShardId, OwnedShard | DrainingShard]]
    ) -> RevokeShards:
        """Return a new revocation, whose answer applies to these entries only."""
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
        """Process the upstream's answer to a revocation.

        The shard may have been granted and revoked again in the meantime; the answer
        does not apply to that later revocation.
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
        """Tell whether nothing serves a shard under ``holder`` before ``epoch``.

        Args:
            holder: A lease of this node.
            shard: The shard.
            epoch: Epoch of the chain that waits for the release.
            now: Event loop time in seconds.
            to_self: Whether the claimant in that chain is another lease of this node,
                under which requests in flight continue.
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
