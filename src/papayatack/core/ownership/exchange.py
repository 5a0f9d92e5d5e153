"""Sends log records to nodes that do not read the log themselves."""

from collections.abc import Callable

from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ControlMessage, LogQuery
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.effects import SendRecords
from papayatack.core.ownership.timing import QUERY_INTERVAL_S, RENEW_INTERVAL_S
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM

__all__ = ["RecordExchange"]

RESEND_INTERVAL_S = 2 * RENEW_INTERVAL_S
"""Time after which the same records are sent to the same peer again."""


class RecordExchange:
    """Compares log offsets with other nodes and sends them the records they lack.

    Args:
        context: The node's shared state.
        deliver: Sends a message, or processes it directly if it is for this node.
        config_spread_s: Seconds after a new configuration arrives during which this
            node does not send it to peers. Other channels distribute it in this time,
            so that no node receives a large configuration more than once.

    Attributes:
        config_offset: All configuration records before this offset are applied.
        peer_offsets: Highest next offset of each stream that another node reported.
    """

    def __init__(
        self,
        *,
        context: Context,
        deliver: Callable[[IncarnationId, ControlMessage, float], None],
        config_spread_s: float = 0.0,
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._config_spread_s = config_spread_s
        self._config_updated_s = float("-inf")
        self.config_offset = 0
        self.peer_offsets = {CONFIG_STREAM: 0, OWNERSHIP_STREAM: 0}

    def set_config_offset(self, offset: int, now: float) -> None:
        """Record that all configuration records before ``offset`` have been applied."""
        if offset > self.config_offset:
            self.config_offset = offset
            self._config_updated_s = now

    def send_missing(
        self, peer: IncarnationId, config_offset: int, offset: int, now: float
    ) -> None:
        """Send a peer the records that it lacks and this node has."""
        pairs = {
            CONFIG_STREAM: (config_offset, self.config_offset),
            OWNERSHIP_STREAM: (offset, self._context.state.next_offset),
        }
        for stream, (peer_offset, own_offset) in pairs.items():
            self.peer_offsets[stream] = max(self.peer_offsets[stream], peer_offset)
            if peer_offset >= own_offset or self._is_propagating(stream, now):
                continue
            key = f"{stream} for {peer} to {own_offset}"
            if self._context.restart_if_due(key, now, RESEND_INTERVAL_S):
                effect = SendRecords(recipient=peer, stream=stream, offset=peer_offset)
                self._context.effects.append(effect)

    def _is_propagating(self, stream: str, now: float) -> bool:
        return (
            stream == CONFIG_STREAM
            and now < self._config_updated_s + self._config_spread_s
        )

    def query_missing(self, now: float) -> None:
        """Query the records that a fenced holder had applied and this node lacks."""
        next_offset = self._context.state.next_offset
        for lease in self._context.fencing.list_unapplied_ends(next_offset):
            entry = self._context.state.leases.get(lease)
            key = f"records of {lease}"
            if entry is None or not self._context.restart_if_due(
                key, now, QUERY_INTERVAL_S
            ):
                continue
            query = LogQuery(stream=OWNERSHIP_STREAM, offset=next_offset)
            for witness in entry.witnesses:
                self._deliver(witness, query, now)
