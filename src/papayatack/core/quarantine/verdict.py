"""Decides whether a request may be sent to an upstream."""

import dataclasses
import enum
from collections.abc import Callable

from papayatack.core.quarantine.identity import Fingerprints
from papayatack.core.quarantine.suspicion import Suspicion
from papayatack.core.quarantine.table import MAX_SUSPICIONS, SuspicionTable

__all__ = ["HOLD_S", "QUARANTINE_RETRY_S", "Quarantine", "Verdict", "VerdictKind"]

HELD_ROUNDS = 2
"""Rounds after which the next run waits until the crashed upstreams are back."""

HOLD_S = 5.0
"""Time for which such a request is refused after its last crash became known."""

QUARANTINE_RETRY_S = 60.0


class VerdictKind(enum.IntEnum):
    """What may be done with a request, the strictest last.

    Attributes:
        FREE: It may run.
        ALONE: It may run while its upstream runs no other suspect.
        HELD: It may not run now.
        REFUSED: It may not run until it is lifted.
    """

    FREE = 0
    ALONE = 1
    HELD = 2
    REFUSED = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Whether a request may be sent to an upstream.

    Attributes:
        kind: What may be done with it.
        retry_after_s: Seconds after which the verdict may have changed; ``None`` if it
            may run.
    """

    kind: VerdictKind
    retry_after_s: float | None = None


FREE = Verdict(kind=VerdictKind.FREE)
ALONE = Verdict(kind=VerdictKind.ALONE)
REFUSED = Verdict(kind=VerdictKind.REFUSED, retry_after_s=QUARANTINE_RETRY_S)


def _ignore_change() -> None:
    """Default callback for changes; does nothing."""


class Quarantine:
    """The suspicions that a node knows, from the log and from other nodes.

    Times are in seconds of the event loop's clock.

    Args:
        logged: Suspicions folded from the ownership log; only read here.

    Attributes:
        on_change: Called after a change of any suspicion.
    """

    def __init__(self, *, logged: SuspicionTable) -> None:
        self.on_change: Callable[[], None] = _ignore_change
        self._logged = logged
        self._unlogged = SuspicionTable()
        self._held_since_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not self._logged and not self._unlogged

    def matches(self, head: str) -> bool:
        """Return whether anything is known of a request with this head."""
        return self._logged.matches(head) or self._unlogged.matches(head)

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return what is known of a request."""
        logged = self._logged.find(fingerprint)
        unlogged = self._unlogged.find(fingerprint)
        if logged is None or unlogged is None:
            return logged or unlogged
        return max(logged, unlogged, key=lambda suspicion: suspicion.rank)

    def list_all(self) -> list[Suspicion]:
        """Return what is known of all requests."""
        tables = (self._logged, self._unlogged)
        names = {item.fingerprint for table in tables for item in table.list_all()}
        found = (self.find(name) for name in sorted(names))
        return [suspicion for suspicion in found if suspicion is not None]

    def find_unlogged(self, fingerprint: str) -> Suspicion | None:
        """Return what is known of a request beyond the log."""
        return self._unlogged.find(fingerprint)

    def list_unlogged(self) -> list[Suspicion]:
        """Return the suspicions that the log lacks, the newest at the end."""
        return self._unlogged.list_all()

    def learn(self, suspicion: Suspicion, now: float) -> bool:
        """Add what this node found or a peer told; return whether it is new."""
        known = self.find(suspicion.fingerprint)
        if known is not None and known.rank >= suspicion.rank:
            return False
        self._unlogged.merge(suspicion)
        self._note_change(suspicion, now)
        return True

    def note_logged(self, suspicion: Suspicion, now: float) -> None:
        """Process a suspicion that has just been folded from the log."""
        unlogged = self._unlogged.find(suspicion.fingerprint)
        if unlogged is not None and unlogged.rank > suspicion.rank:
            return
        self._unlogged.remove(suspicion.fingerprint)
        if unlogged is None or unlogged.rank < suspicion.rank:
            self._note_change(suspicion, now)

    def _note_change(self, suspicion: Suspicion, now: float) -> None:
        self._held_since_s.pop(suspicion.fingerprint, None)
        if suspicion.rounds == HELD_ROUNDS:
            self._held_since_s[suspicion.fingerprint] = now
        if len(self._held_since_s) > MAX_SUSPICIONS:
            del self._held_since_s[next(iter(self._held_since_s))]
        self.on_change()

    def judge(self, fingerprints: Fingerprints, now: float) -> Verdict:
        """Return what may be done with a request at ``now``."""
        exact = self._judge_one(fingerprints.exact, now)
        broad = self._judge_alike(fingerprints, now)
        return broad if broad.kind > exact.kind else exact

    def _judge_alike(self, fingerprints: Fingerprints, now: float) -> Verdict:
        """Return the verdict on a request by those that are alike.

        As long as only one request of them was in flight at crashes, the others may
        run.
        """
        suspicion = self.find(fingerprints.broad)
        if suspicion is None or not suspicion.is_open:
            return FREE
        if suspicion.is_shared:
            return self._judge_one(fingerprints.broad, now)
        return FREE if suspicion.variant == fingerprints.exact else ALONE

    def _judge_one(self, fingerprint: str, now: float) -> Verdict:
        suspicion = self.find(fingerprint)
        if suspicion is None or not suspicion.is_open:
            return FREE
        if suspicion.is_quarantined:
            return REFUSED
        if suspicion.rounds < HELD_ROUNDS:
            return ALONE
        return self._judge_held(fingerprint, now)

    def _judge_held(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request whose next run must wait.

        A node that has just started does not know since when; it waits from now on.
        """
        until_s = self._held_since_s.setdefault(fingerprint, now) + HOLD_S
        if now >= until_s:
            return ALONE
        return Verdict(kind=VerdictKind.HELD, retry_after_s=until_s - now)
