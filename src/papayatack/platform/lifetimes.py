"""Decides which lifetime of the upstream runs beside a node, and whether it leaves.

Each start of the upstream is a lifetime with an id of its own. Reports may arrive
seconds late and out of order, also those of lifetimes that have ended; the health check
at the address names the lifetime that runs there. So a report of another lifetime than
the running one only makes it a candidate. A candidate is put into service once the
health check names it as ready, or once it has reported for so long that no delay
explains it. No report ends the running lifetime, and none is refused for good: the
lifetime that the health check names as ready is in service.
"""

import dataclasses
import enum
from typing import Any

__all__ = ["Identity", "Lifetime", "Lifetimes", "ReportResult"]

CONFIRMATION_S = 6.0
"""Time for which a candidate reports until it is believed without its health check,
longer than a report is delayed."""

MAX_LEAVING_S = 60.0
"""Time after a departure for which its lifetime may still run, unless its end was seen.
After that the same id is that of a restarted process."""

MAX_KNOWN = 64
"""Maximum number of lifetimes that are remembered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lifetime:
    """One lifetime of the upstream.

    Attributes:
        instance: Its id.
        service: Name of its service.
        address: Where it takes requests: ``<ip>:<port>``.
        slots: Requests that it runs at once.
        leaving: Whether it ends soon and gets no new work.
        born_ms: Unix time of its start in milliseconds, 0 if it does not say so. It
            tells lifetimes with the same id apart.
    """

    instance: str
    service: str
    address: str
    slots: int
    leaving: bool = False
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """What a health check says of the lifetime that answers it.

    Attributes:
        instance: Its id.
        is_ready: Whether it considers itself healthy and does not leave.
        slots: Requests that it runs at once, 0 if it does not say so.
        cold_s: Seconds for which it stays cold, ``None`` if it does not say so.
    """

    instance: str
    is_ready: bool
    slots: int = 0
    cold_s: float | None = None


class ReportResult(enum.Enum):
    """What was made of a report.

    Attributes:
        TAKEN: It is the newest of the running lifetime.
        LATE: A newer one is known, or its lifetime has said that it leaves.
        UNCONFIRMED: It is the newest of a candidate.
    """

    TAKEN = "taken"
    LATE = "late"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Candidate:
    """A lifetime that has reported and does not count as the running one.

    Attributes:
        lifetime: What it reported last.
        since_s: Time of its first report in an unbroken series.
        reported_s: Time of its last report.
        is_refuted: Whether its health check has denied that report.
    """

    lifetime: Lifetime
    since_s: float
    reported_s: float
    is_refuted: bool = False


class Lifetimes:
    """The running lifetime of one upstream, and the candidates.

    Times are in seconds of the event loop's clock.

    Args:
        service: Service of the upstream, unless a report names another one.
        address: Address of the upstream, unless a report names another one.
        report_timeout_s: Time without a report after which a candidate is forgotten.

    Attributes:
        running: The lifetime in service, ``None`` while none is known.
        heard_s: Time of the last sign of life of the running lifetime.
    """

    def __init__(self, *, service: str, address: str, report_timeout_s: float) -> None:
        self.running: Lifetime | None = None
        self.heard_s = float("-inf")
        self._service = service
        self._address = address
        self._report_timeout_s = report_timeout_s
        self._candidates: dict[str, _Candidate] = {}
        self._sequences: dict[str, int] = {}
        self._births_ms: dict[str, int] = {}
        self._named_anew: str | None = None
        self._departed_s: dict[str, float] = {}
        self._confirmed_s = float("-inf")
        self._is_identity_wanted = True

    def find_address_to_check(self, now: float) -> str | None:
        """Return the address whose health check is to be asked now, if any is."""
        for candidate in list(self._candidates.values()):
            if now - candidate.reported_s > self._report_timeout_s:
                del self._candidates[candidate.lifetime.instance]
        for candidate in self._candidates.values():
            if not candidate.is_refuted:
                return candidate.lifetime.address
        return self._address if self._is_identity_wanted else None

    def note_report(
        self, lifetime: Lifetime, sequence: int, now: float
    ) -> ReportResult:
        """Process a report; the sequence number orders those of one lifetime."""
        instance = lifetime.instance
        is_of_last_life = self._note_birth(instance, lifetime.born_ms)
        if not is_of_last_life or not self._is_newest(instance, sequence):
            self._is_identity_wanted |= self.running is None
            return ReportResult.LATE
        if self.running is not None and self.running.instance == instance:
            self.running = lifetime
            self.heard_s = self._confirmed_s = now
            return ReportResult.TAKEN
        self._add_candidate(lifetime, now)
        if not self._is_believed(self._candidates[instance], now):
            return ReportResult.UNCONFIRMED
        self._start(lifetime, now)
        return ReportResult.TAKEN

    def _note_birth(self, instance: str, born_ms: int) -> bool:
        """Return whether a report is of the last known life with its id.

        A report of a newer life ends the running one, unless the health check or the
        loss of all connections has shown the restart before.
        """
        known_ms = self._births_ms.get(instance, born_ms)
        _remember(self._births_ms, instance, max(born_ms, known_ms))
        if born_ms > known_ms:
            self._sequences.pop(instance, None)
        if born_ms > known_ms and self._named_anew != instance:
            self._departed_s.pop(instance, None)
            if self.running is not None and self.running.instance == instance:
                self.running = None
        if born_ms > known_ms:
            self._named_anew = None
        return born_ms >= known_ms

    def _is_newest(self, instance: str, sequence: int) -> bool:
        """Record a sequence number; tell whether the report is still of interest."""
        known = self._sequences.get(instance)
        if instance in self._departed_s or (known is not None and sequence <= known):
            return False
        _remember(self._sequences, instance, sequence)
        return True

    def _add_candidate(self, lifetime: Lifetime, now: float) -> None:
        known = self._candidates.get(lifetime.instance)
        if known is None or now - known.reported_s > self._report_timeout_s:
            known = _Candidate(lifetime=lifetime, since_s=now, reported_s=now)
        known.lifetime = lifetime
        known.reported_s = now
        known.is_refuted = False
        _remember(self._candidates, lifetime.instance, known)

    def _is_believed(self, candidate: _Candidate, now: float) -> bool:
        """Tell whether a candidate runs although no health check has named it."""
        is_alone = self.running is None or self._confirmed_s < candidate.since_s
        return is_alone and now - candidate.since_s >= CONFIRMATION_S

    def note_departure(self, instance: str, now: float) -> None:
        """Record that a lifetime leaves; it still serves for a while."""
        self._candidates.pop(instance, None)
        _remember(self._departed_s, instance, now)
        if self.running is not None and self.running.instance == instance:
            self.running = dataclasses.replace(self.running, leaving=True)

    def note_listening(self, now: float) -> None:
        """Record that something listens at the address of the running lifetime."""
        self.heard_s = now

    def doubt_running(self) -> None:
        """Have the health check asked which lifetime runs."""
        self._is_identity_wanted = True

    def note_interruption(self) -> bool:
        """Record that all connections to the running lifetime were lost.

        Returns:
            Whether a later lifetime may run with its id: ids are used again where
            reports say when a lifetime began.
        """
        if self.running is None:
            return True
        instance = self.running.instance
        if self._births_ms.get(instance) == 0:
            return False
        self._named_anew = instance
        return True

    def note_end(self) -> None:
        """Record that the running lifetime can't be reached any more."""
        if self.running is not None:
            self._departed_s.pop(self.running.instance, None)
        self.running = None

    def note_identity(
        self, identity: Identity | None, *, address: str, now: float
    ) -> None:
        """Process the answer to a health check.

        It may be wrong about a lifetime that has said that it leaves.

        Args:
            identity: The answer, ``None`` if there is none that names a lifetime.
            address: Address that was asked.
            now: Event loop time.
        """
        self._is_identity_wanted = False
        if identity is None:
            return
        named = identity.instance
        candidate = self._candidates.get(named)
        self._candidates = {named: candidate} if candidate is not None else {}
        if self.running is not None and self.running.instance == named:
            self.heard_s = self._confirmed_s = now
        elif now - self._departed_s.get(named, float("-inf")) < MAX_LEAVING_S:
            return
        elif identity.is_ready:
            self._start_named(identity, candidate, now)
        else:
            self._handle_unready(candidate, address, now)

    def _start_named(
        self, identity: Identity, candidate: _Candidate | None, now: float
    ) -> None:
        """Put a lifetime into service that the health check names as ready.

        It may have restarted with the same id. Without a report since then it must say
        how many slots it has.
        """
        self._departed_s.pop(identity.instance, None)
        if candidate is not None:
            self._start(candidate.lifetime, now)
            return
        self._sequences.pop(identity.instance, None)
        self._named_anew = identity.instance
        if identity.slots:
            lifetime = Lifetime(
                instance=identity.instance,
                service=self._service,
                address=self._address,
                slots=identity.slots,
            )
            self._start(lifetime, now)

    def _handle_unready(
        self, candidate: _Candidate | None, address: str, now: float
    ) -> None:
        """Process that another lifetime than the running one answers, and not as ready.

        It leaves, or its health check is wrong; the running one has ended.
        """
        if candidate is not None and candidate.lifetime.leaving:
            self._start(candidate.lifetime, now)
            return
        if candidate is not None:
            candidate.is_refuted = True
        if self.running is not None and self.running.address == address:
            self.running = None

    def _start(self, lifetime: Lifetime, now: float) -> None:
        self.running = lifetime
        self.heard_s = self._confirmed_s = now
        self._candidates.clear()


def _remember(known: dict[str, Any], instance: str, value: Any) -> None:
    """Store a value as the newest, and forget the oldest beyond ``MAX_KNOWN``."""
    known.pop(instance, None)
    known[instance] = value
    if len(known) > MAX_KNOWN:
        del known[next(iter(known))]
