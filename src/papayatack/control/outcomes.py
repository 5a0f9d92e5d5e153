"""Transfers the outcomes of requests with an idempotency key between nodes."""

import functools
from collections.abc import Callable

from papayatack.core.idempotency import HANDOVER_TIMEOUT_S, OutcomeExchange
from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ControlMessage, OutcomePart, OutcomeQuery
from papayatack.core.ownership.owned_shards import OwnedShards
from papayatack.core.ownership.tenures import make_tenure

__all__ = ["OutcomeTransport"]


class OutcomeTransport:
    """Sends and receives the messages of the outcome exchange.

    Args:
        owned_shards: The shards that the node owns or has owned.
        send: Sends a control message.

    Attributes:
        exchange: Creates and handles the messages; ``None`` until the request path has
            been set up.
    """

    def __init__(
        self,
        *,
        owned_shards: OwnedShards,
        send: Callable[[IncarnationId, ControlMessage], None],
    ) -> None:
        self._owned_shards = owned_shards
        self._send = send
        self.exchange: OutcomeExchange | None = None

    def send_queries(self, now: float) -> None:
        """Send queries for the outcomes still expected from previous owners."""
        if self.exchange is None:
            return
        tenures = [
            make_tenure(shard, owned_shard)
            for shard, owned_shard in self._owned_shards.owned.items()
            if owned_shard.previous_owner is not None
            and now <= owned_shard.since_s + HANDOVER_TIMEOUT_S
        ]
        for recipient, query in self.exchange.list_queries(now, tenures):
            self._send(recipient, query)

    @functools.singledispatchmethod
    def receive(
        self, message: OutcomeQuery | OutcomePart, sender: IncarnationId, now: float
    ) -> None:
        """Handle a message from another node."""
        raise TypeError(message)

    @receive.register
    def _(self, message: OutcomeQuery, sender: IncarnationId, now: float) -> None:
        owned_shard = self._owned_shards.find_formerly_owned(message.shard, now)
        if self.exchange is None or owned_shard is None:
            return
        tenure = make_tenure(message.shard, owned_shard)
        part = self.exchange.answer_query(now, tenure, owned_shard.epoch, message)
        if part is not None:
            self._send(sender, part)

    @receive.register
    def _(self, message: OutcomePart, sender: IncarnationId, now: float) -> None:
        owned_shard = self._owned_shards.owned.get(message.shard)
        if self.exchange is None or owned_shard is None:
            return
        tenure = make_tenure(message.shard, owned_shard)
        for recipient, query in self.exchange.receive_part(
            now, sender, tenure, message
        ):
            self._send(recipient, query)

    def has_pending_exports(self, now: float) -> bool:
        """Tell whether released shards have outcomes that were not queried yet."""
        if self.exchange is None:
            return False
        return self.exchange.has_pending_exports(
            now, list(self._owned_shards.formerly_owned)
        )
