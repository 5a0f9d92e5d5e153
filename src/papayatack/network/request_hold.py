"""Requests of another node that wait until it is known how old they are."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Any

from papayatack.network.delivery_delay import DeliveryDelay
from papayatack.network.streams import US_PER_S, PeerStream

__all__ = ["LATE_S", "RequestHold"]

LATE_S = 0.25
"""Time on the way from which a request counts as late. Its cancel may then wait in the
same buffers."""

MAX_HOLD_S = 0.1
"""Longest time for which a late request is held. A peer that answers no sooner has not
read its callers' connections either."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _HeldRequest:
    """A request that is not handed on before the peer has answered a question.

    Attributes:
        stream: Its stream.
        head: Its head.
        question: Number of the question, among those on the connection.
    """

    stream: PeerStream
    head: Any
    question: int


class RequestHold:
    """Decides when the requests that a peer sends on one connection are handed on.

    Until the peer has answered a question, it is not known how long its requests
    waited in buffers. Late ones wait for the answer to a question that is asked after
    they have come: nothing that the peer wrote before can arrive after it.

    Args:
        ask: Sends a question that the peer answers, and calls :meth:`note_question`.
        hand_on: Serves a request, unless it has been cancelled.
    """

    def __init__(
        self,
        *,
        ask: Callable[[], None],
        hand_on: Callable[[PeerStream, Any], None],
    ) -> None:
        self._ask = ask
        self._hand_on = hand_on
        self._loop = asyncio.get_running_loop()
        self._delay = DeliveryDelay()
        self._held: collections.deque[_HeldRequest] = collections.deque()
        self._asked_us: collections.deque[int] = collections.deque()
        self._answer_count = 0
        self._is_age_known = False
        self._is_stopped = False

    def __len__(self) -> int:
        """Return how many requests are held."""
        return len(self._held)

    def add(self, stream: PeerStream, head: Any) -> None:
        """Hand on a request, or hold it if it is late or of unknown age."""
        is_fresh = self._is_age_known and not self._is_late(head)
        if is_fresh or self._is_stopped:
            self._hand_on(stream, head)
            return
        question = self._answer_count + 1
        if self._is_age_known:
            question = self._ask_in_time()
        self._held.append(_HeldRequest(stream=stream, head=head, question=question))

    def measure(self, sent_us: int | None) -> int:
        """Return for how many microseconds a message was on its way until now."""
        return self._delay.measure(self._read_clock_us(), sent_us)

    def note_question(self) -> None:
        """Note that a question is being sent to the peer."""
        self._asked_us.append(self._read_clock_us())

    def handle_answer(self, sent_us: int | None) -> None:
        """Measure by an answer of the peer, and hand on requests that waited for it.

        A first answer that took long leaves open how old the requests are, so the peer
        is asked again.

        Args:
            sent_us: Time of the answer by the peer's clock, in microseconds.
        """
        if not self._asked_us:
            return
        asked_us = self._asked_us.popleft()
        self._answer_count += 1
        self._delay.measure_answer(self._read_clock_us(), sent_us, asked_us)
        if not self._is_age_known:
            self._is_age_known = True
            if not self._delay.is_certain and sent_us is not None:
                self._hold_longer()
        self._release(self._answer_count)

    def stop(self) -> None:
        """Hand on all requests at once from now on, since the node refuses them."""
        self._is_stopped = True
        self._release(math.inf)

    def clear(self) -> None:
        """Forget all requests, since the connection is lost."""
        self._held.clear()

    def _is_late(self, head: Any) -> bool:
        """Return whether a request was on its way for a long time."""
        if self._delay.needs_answer(self._read_clock_us()):
            self._ask_once()
        return self.measure(head.sent_us) >= LATE_S * US_PER_S

    def _hold_longer(self) -> None:
        """Hold all requests until the peer has answered once more."""
        question = self._ask_in_time()
        held = [dataclasses.replace(item, question=question) for item in self._held]
        self._held = collections.deque(held)

    def _ask_in_time(self) -> int:
        """Ask the peer, and limit the time for which its answer is waited for.

        Returns:
            Number of the question.
        """
        self._ask_once()
        question = self._answer_count + len(self._asked_us)
        self._loop.call_later(MAX_HOLD_S, self._release, question)
        return question

    def _ask_once(self) -> None:
        """Ask the peer, unless it has just been asked."""
        oldest_us = self._read_clock_us() - LATE_S * US_PER_S
        if not self._asked_us or self._asked_us[-1] < oldest_us:
            self._ask()

    def _release(self, question: float) -> None:
        """Hand on the requests that waited for the answers up to this one."""
        while self._held and self._held[0].question <= question:
            held = self._held.popleft()
            self._hand_on(held.stream, held.head)

    def _read_clock_us(self) -> int:
        return int(self._loop.time() * US_PER_S)
