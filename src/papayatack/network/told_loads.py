"""What nodes tell each other of their load, with responses and refusals."""

from collections.abc import Callable
from typing import Any

from papayatack.core.identity import IncarnationId
from papayatack.core.node_load import NodeLoad
from papayatack.observability.metrics import Metrics
from papayatack.wire.errors import WireError
from papayatack.wire.node_loads import decode_node_load, encode_node_load

__all__ = ["LoadExchange"]

LoadHandler = Callable[[str, IncarnationId, NodeLoad | None], None]


def _read_nothing() -> None:
    """Return the load of a node that tells none."""


def _drop(service: str, incarnation: IncarnationId, load: NodeLoad | None) -> None:
    """Discard what nodes tell before a handler is set."""


class LoadExchange:
    """Tells other nodes the load of this one, and passes on what they tell.

    Attributes:
        read: Returns what this node tells, ``None`` for nothing.
        on_news: Called with the service and the incarnation to which a request was sent
            and what that node told with its response.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.read: Callable[[], NodeLoad | None] = _read_nothing
        self.on_news: LoadHandler = _drop
        self._metrics = metrics

    def encode(self) -> Any:
        """Return the struct of what this node tells, ``None`` for nothing."""
        load = self.read()
        return None if load is None else encode_node_load(load)

    def receive(self, service: str, incarnation: IncarnationId, struct: Any) -> None:
        """Pass on what a node told; values out of their bounds count as nothing."""
        load = None
        if struct is not None:
            try:
                load = decode_node_load(struct)
            except WireError:
                self._metrics.count("told_loads_malformed")
        self.on_news(service, incarnation, load)
