"""A bounded table of suspicions."""

import collections

from papayatack.core.quarantine.suspicion import Suspicion

__all__ = ["MAX_CALLER_SUSPICIONS", "MAX_SUSPICIONS", "SuspicionTable"]

MAX_SUSPICIONS = 4096
MAX_CALLER_SUSPICIONS = 1024
"""Suspicions kept of one caller, so that a caller with many requests of this kind does
not push out those of others."""


class SuspicionTable:
    """Suspicions by fingerprint.

    If a caller or the table has too many, one with the fewest rounds is dropped, the
    oldest of these. The content depends only on the order of the merges.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        self._heads: collections.Counter[str] = collections.Counter()
        self._callers: collections.Counter[str] = collections.Counter()

    def __eq__(self, other: object) -> bool:
        """Return whether both contain the same, changed in the same order."""
        if not isinstance(other, SuspicionTable):
            return NotImplemented
        return self.list_all() == other.list_all()

    __hash__ = None

    def __len__(self) -> int:
        return len(self._suspicions)

    def list_all(self) -> list[Suspicion]:
        """Return all suspicions, those that changed last at the end."""
        return list(self._suspicions.values())

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return the suspicion of a request, if there is one."""
        return self._suspicions.get(fingerprint)

    def matches(self, head: str) -> bool:
        """Return whether there is a suspicion of a request with this head."""
        return head in self._heads

    def merge(self, suspicion: Suspicion) -> bool:
        """Add a suspicion; return whether it says more than is known."""
        known = self._suspicions.get(suspicion.fingerprint)
        if known is not None and known.rank >= suspicion.rank:
            return False
        self.remove(suspicion.fingerprint)
        self._suspicions[suspicion.fingerprint] = suspicion
        self._heads[suspicion.head] += 1
        self._callers[suspicion.caller] += 1
        if self._callers[suspicion.caller] > MAX_CALLER_SUSPICIONS:
            self._drop_least(suspicion.caller)
        elif len(self._suspicions) > MAX_SUSPICIONS:
            self._drop_least(None)
        return True

    def remove(self, fingerprint: str) -> None:
        """Remove the suspicion of a request, if there is one."""
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion is None:
            return
        _decrement(self._heads, suspicion.head)
        _decrement(self._callers, suspicion.caller)

    def _drop_least(self, caller: str | None) -> None:
        candidates = [
            suspicion
            for suspicion in self._suspicions.values()
            if caller is None or suspicion.caller == caller
        ]
        least = min(candidates, key=lambda suspicion: suspicion.rounds)
        self.remove(least.fingerprint)


def _decrement(counter: collections.Counter[str], key: str) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
