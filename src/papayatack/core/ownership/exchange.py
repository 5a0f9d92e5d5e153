"""Sends log records to nodes that do not read the log themselves."""

import math
from collections.abc import Callable

from papayatack.core.config_watch import ConfigWatch
from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ConfigRead, ControlMessage, LogQuery
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.effects import SendRecords
from papayatack.core.ownership.timing import QUERY_INTERVAL_S, RENEW_INTERVAL_S
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM

__all__ = ["RecordExchange"]

RESEND_INTERVAL_S = 2 * RENEW_INTERVAL_S
"""Time after which the same records are sent to the same peer again."""

US_PER_S = 1_000_000


class RecordExchange:
    """Compares log offsets with other nodes and sends them the records they lack.

    Args:
        context: The node's shared state.
        deliver: Sends a message, or processes it directly if it is for this node.

    Attributes:
        config: Knows how old the configuration may be.
        peer_offsets: Highest next offset of each stream that another node reported.
    """

    def __init__(
        self,
        *,
        context: Context,
        deliver: Callable[[IncarnationId, ControlMessage, float], None],
    ) -> None:
        self._context = context
        self._deliver = deliver
        self.config = ConfigWatch(reader=context.incarnation)
        self.peer_offsets = {CONFIG_STREAM: 0, OWNERSHIP_STREAM: 0}

    def find_config_age_us(self, now: float) -> int | None:
        """Return the time since the configuration was the newest for certain."""
        age_s = self.config.find_age_s(now)
        return int(age_s * US_PER_S) if math.isfinite(age_s) else None

    def receive_config_position(
        self,
        peer: IncarnationId,
        offset: int,
        age_us: int | None,
        read: ConfigRead | None,
        now: float,
    ) -> None:
        """Process the offset of a peer's configuration and the age of that knowledge.

        The time for which the first message about a read was on its way does not count.
        """
        stream = CONFIG_STREAM
        self.peer_offsets[stream] = max(self.peer_offsets[stream], offset)
        time_s = None if age_us is None else now - max(age_us, 0) / US_PER_S
        self.config.receive_position(peer, offset, time_s, now, read=read)

    def send_missing(self, peer: IncarnationId, peer_offset: int, now: float) -> None:
        """Send a peer the ownership records that it lacks and this node has."""
        stream = OWNERSHIP_STREAM
        own_offset = self._context.state.next_offset
        self.peer_offsets[stream] = max(self.peer_offsets[stream], peer_offset)
        if peer_offset >= own_offset:
            return
        key = f"{stream} for {peer} to {own_offset}"
        if self._context.restart_if_due(key, now, RESEND_INTERVAL_S):
            effect = SendRecords(recipient=peer, stream=stream, offset=peer_offset)
            self._context.effects.append(effect)

    def query_config(self, now: float) -> None:
        """Ask a node that has a newer configuration for it, if that is due."""
        informed = self.config.choose_informed(now)
        if informed is not None:
            query = LogQuery(stream=CONFIG_STREAM, offset=self.config.offset)
            self._deliver(informed, query, now)

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
