"""The quarantine of requests, for the request path and for operators."""

import asyncio
from collections.abc import Callable, Iterable

from papayatack.core.ownership.effects import Effect
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.suspicions import Standing, Suspect
from papayatack.core.quarantine import Fingerprints, Suspicion, Verdict

__all__ = ["QuarantineControl"]

LIFTED = "lifted"
"""Request id of a suspicion that an operator has cleared."""


class QuarantineControl:
    """Implements :class:`papayatack.proxy.interface.Quarantine`.

    Args:
        core: The ownership core of the node.
        execute_effects: Executes effects of the core.
    """

    def __init__(
        self, *, core: NodeCore, execute_effects: Callable[[list[Effect]], None]
    ) -> None:
        self._core = core
        self._quarantine = core.context.quarantine
        self._execute_effects = execute_effects

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return self._quarantine.is_empty

    def matches(self, head: str) -> bool:
        """Return whether anything is known of a request with this head."""
        return self._quarantine.matches(head)

    def is_known(self, fingerprint: str) -> bool:
        """Return whether anything is known of a request."""
        return self._quarantine.find(fingerprint) is not None

    def judge(self, fingerprints: Fingerprints) -> Verdict:
        """Return what may be done with a request now."""
        return self._quarantine.judge(fingerprints, _read_clock())

    def find_standing(self, fingerprint: str) -> Standing:
        """Return what is known of a request that is about to be sent."""
        suspicion = self._quarantine.find(fingerprint)
        if suspicion is None:
            return Standing(fingerprint=fingerprint)
        return Standing(
            fingerprint=fingerprint,
            generation=suspicion.generation,
            rounds=suspicion.rounds,
        )

    def notify_change(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` called after each change of a suspicion."""
        self._quarantine.on_change = callback

    def report_crash(self, upstream: str, suspects: Iterable[Suspect]) -> None:
        """Share which requests were in flight when the local upstream crashed."""
        effects = self._core.report_crash(upstream, suspects, _read_clock())
        self._execute_effects(effects)

    def report_end(self, fingerprints: Fingerprints, request_id: str) -> None:
        """Share that a request has ended at the local upstream, if it is suspected."""
        self._clear((fingerprints.broad, fingerprints.exact), request_id)

    def _clear(self, names: tuple[str, ...], request_id: str) -> None:
        effects = self._core.clear_suspicions(names, request_id, _read_clock())
        self._execute_effects(effects)

    def list_open(self) -> list[Suspicion]:
        """Return the suspicions of single requests that have not been cleared.

        Those of requests that are alike are left out while they name a single one.
        """
        return [
            item
            for item in self._quarantine.list_all()
            if item.is_open and not item.is_of_one
        ]

    def lift(self, fingerprint: str) -> bool:
        """Clear a suspicion on behalf of an operator; return whether there was one."""
        related = [
            item.fingerprint
            for item in self._quarantine.list_all()
            if item.is_open and fingerprint in (item.fingerprint, item.variant)
        ]
        self._clear(tuple(related), LIFTED)
        return bool(related)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
