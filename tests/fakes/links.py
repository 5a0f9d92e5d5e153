"""Links of a given rate between nodes of one process, and from them to the log."""

import asyncio
import collections

from papayatack.wire.convert import encode_control
from papayatack.wire.frames import encode_frame
from standins.logstore import InProcessLog
from tests.fakes.nodes import LATENCY_S, FakeNetwork

__all__ = ["RatedLog", "RatedNetwork"]


class RatedNetwork(FakeNetwork):
    """Delivers control messages no sooner than the links of both nodes have time.

    Attributes:
        batches: Records that each address was sent, by stream.
        batch_bytes: Bytes of all messages with records.
    """

    def __init__(self, *, bytes_per_s):
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._out_free_s = collections.defaultdict(float)
        self._in_free_s = collections.defaultdict(float)
        self.batches = collections.Counter()
        self.batch_bytes = 0

    def make_sender(self, own):
        """Return the sender of the node at an address."""
        return _RatedSender(self, own)

    def take_in(self, address, size):
        """Return when so many bytes have come in at an address."""
        now = asyncio.get_running_loop().time()
        duration_s = size / self._bytes_per_s
        self._in_free_s[address] = max(now, self._in_free_s[address]) + duration_s
        return self._in_free_s[address]

    def send(self, own, address, recipient, message):
        """Queue a message behind what the links carry already."""
        loop = asyncio.get_running_loop()
        size = len(encode_frame(encode_control(own, recipient, message)))
        if type(message).__name__ == "LogBatch":
            self.batches[address, message.stream] += 1
            self.batch_bytes += size
        start_s = max(loop.time(), self._out_free_s[own])
        sent_s = start_s + size / self._bytes_per_s
        self._out_free_s[own] = sent_s
        arrival_s = max(sent_s, self.take_in(address, size)) + LATENCY_S
        loop.call_at(arrival_s, self.deliver, own, address, recipient, message)


class _RatedSender:
    def __init__(self, network, own):
        self._network = network
        self._own = own

    def send(self, address, recipient, message):
        """Queue a message."""
        self._network.send(self._own, address, recipient, message)


class RatedLog(InProcessLog):
    """The log behind the link of one node."""

    def __init__(self, *, store, network, address):
        super().__init__(store=store)
        self._network = network
        self._address = address

    async def read(self, stream, offset, *, limit, wait_s, timeout_s):
        """Return a page once the link has carried it."""
        page = await super().read(
            stream, offset, limit=limit, wait_s=wait_s, timeout_s=timeout_s
        )
        size = sum(map(len, page.map(lambda found: found.payloads).value_or(())))
        end_s = self._network.take_in(self._address, size)
        await asyncio.sleep(end_s - asyncio.get_running_loop().time())
        return page
