"""State that the holder of a lease keeps about it."""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import ConfigRead, Renew, RenewReply
from papayatack.core.ownership.timing import (
    CLOCK_RATE_BOUND,
    CONFIG_GRACE_S,
    LEASE_DURATION_S,
    QUORUM_LOSS_ROUNDS,
    compute_fence_quorum,
    compute_promise_quorum,
)

__all__ = ["LeaseHolder", "find_kth_largest"]

ROUNDS_KEPT = 16
"""Number of renewal rounds whose answers are still accepted."""

MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Round:
    sent_s: float
    floor: int


def find_kth_largest(values: list[float], k: int, *, default: float) -> float:
    """Return the highest value that at least ``k`` of ``values`` reach."""
    if k > len(values):
        return default
    return sorted(values, reverse=True)[k - 1]


class LeaseHolder:
    """One lease from its holder's point of view.

    Args:
        lease: The lease.
        witnesses: Witnesses of the lease. Without any, only the log can end the lease,
            and the holder renews it alone.
        now: Time of the holder's clock in seconds.
        lease_s: Longest promise that counts, in seconds.

    Attributes:
        lease: The lease.
        witnesses: Nodes that promise not to fence the lease for a time.
        valid_until_s: The holder may serve before this time of its own clock.
        confirmed_floor: Floor stored by enough witnesses that any node that fences the
            lease from now on learns of at least this floor.
        ended: Whether the lease has ended permanently.
        fenced_by: Witnesses that have fenced the lease.
        last_sent_s: Time at which the last renewal was created.
        sent_floor: Floor in the last renewal.
        extended_until_s: Value of ``valid_until_s`` when the upstream's grants were
            last extended.
        discarded_grants_until_s: Time at which the upstream's grants under discarded
            promises have expired.
        departed: Witnesses that have left with a permanent promise. They count as if
            they answered each renewal at once, as long as another one promises as well.
        lease_s: Longest promise that counts, in seconds.
    """

    def __init__(
        self,
        *,
        lease: LeaseId,
        witnesses: tuple[IncarnationId, ...],
        now: float,
        lease_s: float = LEASE_DURATION_S,
    ) -> None:
        self.lease_s = lease_s
        self.lease = lease
        self.witnesses = witnesses
        self.valid_until_s = now if witnesses else self._find_own_end(now)
        self.confirmed_floor = 0
        self.ended = False
        self.fenced_by: set[IncarnationId] = set()
        self.last_sent_s = float("-inf")
        self.sent_floor = 0
        self.extended_until_s = float("-inf")
        self.discarded_grants_until_s = float("-inf")
        self.departed: set[IncarnationId] = set()
        self._round = 0
        self._rounds: dict[int, _Round] = {}
        self._promised_until_s: dict[IncarnationId, float] = {}
        self._floors: dict[IncarnationId, int] = {}
        self._acknowledged = dict.fromkeys(witnesses, 0)
        self._lagging_since_s: dict[IncarnationId, float] = {}

    def may_have_grants(self, now: float) -> bool:
        """Tell whether the upstream may hold valid grants under the lease."""
        return self.is_live(now) or now < self.discarded_grants_until_s

    def is_live(self, now: float) -> bool:
        """Tell whether the holder may serve now."""
        return not self.ended and now < self.valid_until_s

    def end(self) -> None:
        """Stop serving under this lease permanently."""
        self.ended = True
        self.valid_until_s = float("-inf")

    def discard_promises(self) -> None:
        """Stop serving until promises are renewed, after a pause the clock missed."""
        if self.ended:
            return
        self.discarded_grants_until_s = max(
            self.discarded_grants_until_s, self.valid_until_s
        )
        self._rounds.clear()
        self._promised_until_s.clear()
        self.valid_until_s = float("-inf")
        self.last_sent_s = float("-inf")

    def renew(
        self,
        *,
        now: float,
        floor: int,
        config_offset: int,
        ownership_offset: int,
        config_age_us: int | None = None,
        config_read: ConfigRead | None = None,
    ) -> Renew:
        """Begin a renewal round; use :meth:`address` for each witness's message."""
        self._round += 1
        self.last_sent_s = now
        self.sent_floor = floor
        self._rounds[self._round] = _Round(sent_s=now, floor=floor)
        self._rounds.pop(self._round - ROUNDS_KEPT, None)
        if not self.ended and self.renews_alone:
            self._update_floor()
            self._update_validity()
        return Renew(
            lease=self.lease,
            round=self._round,
            floor=floor,
            config_offset=config_offset,
            ownership_offset=ownership_offset,
            config_age_us=config_age_us,
            config_read=config_read,
        )

    @property
    def renews_alone(self) -> bool:
        """Whether a renewal has an effect before any witness has answered it."""
        return bool(self.departed) or not self.witnesses

    def _find_own_end(self, sent_s: float) -> float:
        """Return the end of a promise that counts from a renewal sent at ``sent_s``."""
        return sent_s + self.lease_s * (1 - CLOCK_RATE_BOUND)

    def address(self, renewal: Renew, witness: IncarnationId) -> Renew:
        """Return a renewal as it is sent to one witness."""
        return dataclasses.replace(renewal, heard=self._acknowledged[witness])

    def list_unresponsive(self, rounds: int) -> set[IncarnationId]:
        """Return the witnesses that left or answered none of the last renewals.

        Args:
            rounds: Number of renewals without an answer.
        """
        silent = {
            witness
            for witness, heard in self._acknowledged.items()
            if self._round - heard >= rounds
        }
        return silent | self.departed

    @property
    def can_be_fenced(self) -> bool:
        """Whether enough witnesses are left to fence the lease."""
        remaining = len(self.witnesses) - len(self.departed)
        return remaining >= compute_fence_quorum(len(self.witnesses))

    def has_lost_quorum(self, now: float) -> bool:
        """Tell whether the lease can be neither renewed nor fenced.

        This is the case if too many witnesses are unresponsive while another one
        answers: then those witnesses are lost, and this node is not merely isolated.
        Witnesses that departed are no loss, unless those that stay have fenced the
        lease, or are silent and too few to do so: then nobody else can end it.
        """
        if self.ended or not self.witnesses or self.may_have_grants(now):
            return False
        silent = self.list_unresponsive(QUORUM_LOSS_ROUNDS)
        answering = set(self.witnesses) - silent
        promising = answering - self.fenced_by
        if not answering:
            return not self.can_be_fenced
        if not promising:
            return True
        count = len(promising) + len(self.departed)
        return count < compute_promise_quorum(len(self.witnesses))

    def accept(
        self,
        witness: IncarnationId,
        reply: RenewReply,
        *,
        now: float,
        config_offset: int,
    ) -> bool:
        """Process a witness's answer; return whether it counts as a promise."""
        sent = self._rounds.get(reply.round)
        if witness not in self._acknowledged or self.ended:
            return False
        self._acknowledged[witness] = max(self._acknowledged[witness], reply.round)
        if reply.fenced:
            self.accept_fence(witness)
            return False
        if reply.permanent:
            self._accept_departure(witness)
        if sent is None or reply.promised_us <= 0 or witness in self.departed:
            return False
        self._floors[witness] = max(self._floors.get(witness, 0), sent.floor)
        self._update_floor()
        if not self._is_config_fresh(witness, reply.config_offset, config_offset, now):
            return False
        promised_s = min(reply.promised_us / MICROSECONDS, self.lease_s)
        until_s = sent.sent_s + promised_s * (1 - CLOCK_RATE_BOUND)
        self._promised_until_s[witness] = max(
            self._promised_until_s.get(witness, until_s), until_s
        )
        self._update_validity()
        return True

    def _accept_departure(self, witness: IncarnationId) -> None:
        """Count on a witness that has left and will not fence the lease.

        A quorum of fences is one of the remaining witnesses then. It includes one that
        stored whatever floor the rest of a promise quorum stored.
        """
        self.departed.add(witness)
        self._floors.pop(witness, None)
        self._lagging_since_s.pop(witness, None)
        self._update_floor()
        self._update_validity()

    def accept_fence(self, witness: IncarnationId) -> None:
        """Record that a witness has fenced the lease.

        The witness's last promise had expired before that, so ``valid_until_s`` need
        not be reduced: the upstream's grants last until the time that it had set.
        """
        self.fenced_by.add(witness)
        if len(self.fenced_by) >= compute_fence_quorum(len(self.witnesses)):
            self.end()

    def _update_floor(self) -> None:
        if not self.witnesses:
            self.confirmed_floor = max(self.confirmed_floor, self.sent_floor)
            return
        needed = compute_promise_quorum(len(self.witnesses))
        floors = [*self._floors.values(), *[self.sent_floor] * len(self.departed)]
        floor = find_kth_largest(list(floors), needed, default=0)
        self.confirmed_floor = max(self.confirmed_floor, int(floor))

    def _update_validity(self) -> None:
        own_until_s = self._find_own_end(self.last_sent_s)
        if not self.witnesses:
            self.valid_until_s = own_until_s
            return
        needed = compute_promise_quorum(len(self.witnesses))
        promised = [
            own_until_s if witness in self.departed else until_s
            for witness, until_s in self._promised_until_s.items()
        ]
        unheard = self.departed - self._promised_until_s.keys()
        promised += [own_until_s] * len(unheard)
        self.valid_until_s = min(
            find_kth_largest(promised, needed, default=float("-inf")),
            max(self._promised_until_s.values(), default=float("-inf")),
        )

    def _is_config_fresh(
        self, witness: IncarnationId, witness_offset: int, own_offset: int, now: float
    ) -> bool:
        """Tell whether the configuration of this node is recent enough to serve under.

        A holder that resumes after its lease expired waits until its configuration is
        as recent as its witnesses'. A live holder may lag behind for
        :data:`CONFIG_GRACE_S` while a change propagates.
        """
        if witness_offset <= own_offset or not self.is_live(now):
            self._lagging_since_s.pop(witness, None)
            return witness_offset <= own_offset
        since_s = self._lagging_since_s.setdefault(witness, now)
        return now - since_s < CONFIG_GRACE_S
