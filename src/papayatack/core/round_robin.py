"""Smooth weighted round robin over the target services of a route."""

from collections.abc import Sequence

from papayatack.core.inventory import Target

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Selects targets in proportion to their weights.

    Each selection adds its weight to the credit of every target, selects the target
    with the highest credit and subtracts the total weight from it. After any number of
    selections, the count of each target differs from its share by less than one.

    Args:
        targets: The targets with their weights.
    """

    def __init__(self, *, targets: Sequence[Target]) -> None:
        self._targets = tuple(targets)
        self._credits = [0.0] * len(self._targets)
        self._total = sum(target.weight for target in self._targets)

    def choose(self) -> str:
        """Return the service for the next request."""
        if len(self._targets) == 1:
            return self._targets[0].service
        for index, target in enumerate(self._targets):
            self._credits[index] += target.weight
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._targets[chosen].service
