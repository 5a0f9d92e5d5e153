"""Exact shares of a route's requests among its services."""

from collections.abc import Sequence

from papayatack.core.inventory import Target

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Chooses targets in turn, each as often as its weight says.

    Each choice pays every target its weight and takes the whole from the richest, so
    that after any number of choices no target is off its share by a whole request.
    """

    def __init__(self, *, targets: Sequence[Target]) -> None:
        self._targets = tuple(targets)
        self._credits = [0.0] * len(self._targets)
        self._total = sum(target.weight for target in self._targets)

    def choose(self) -> str:
        """Return the service of the next request."""
        if len(self._targets) == 1:
            return self._targets[0].service
        for index, target in enumerate(self._targets):
            self._credits[index] += target.weight
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._targets[chosen].service
