"""Choice among the nodes of a service without keys."""

import collections

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId
from papayatack.proxy.interface import Route

__all__ = ["NodeBalance"]


class NodeBalance:
    """Counts this node's own requests in flight at each node."""

    def __init__(self) -> None:
        self._in_flight: collections.Counter[IncarnationId] = collections.Counter()

    def choose(
        self, nodes: tuple[Route, ...], tried: set[IncarnationId]
    ) -> Result[Route, Refusal]:
        """Return the node with the fewest, the nearest first among equals.

        Args:
            nodes: The service's nodes, nearest first.
            tried: Nodes that failed the request, chosen only if all have.
        """
        if not nodes:
            detail = "the service has no node"
            return Failure(Refusal(kind=ErrorKind.NO_OWNER, detail=detail))
        return Success(
            min(
                nodes,
                key=lambda node: (
                    node.incarnation in tried,
                    self._in_flight[node.incarnation],
                ),
            )
        )

    def begin(self, incarnation: IncarnationId) -> None:
        """Note a request on its way to a node."""
        self._in_flight[incarnation] += 1

    def end(self, incarnation: IncarnationId) -> None:
        """Note that a request has ended."""
        self._in_flight[incarnation] -= 1
        if self._in_flight[incarnation] <= 0:
            del self._in_flight[incarnation]
