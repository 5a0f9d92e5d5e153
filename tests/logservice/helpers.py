"""Helpers shared by the tests of the log client."""

import asyncio
import random
import unittest

import looptime

from papayatack.core.records import OWNERSHIP_STREAM, Retire
from papayatack.logservice import Appender, Pacer
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record
from standins.logstore import InProcessLog, LogStore


class VirtualTimeTestCase(unittest.TestCase):
    """Test case that runs coroutines in virtual time, on a looptime event loop."""

    def run_virtually(self, coroutine):
        """Run a coroutine to completion in virtual time."""
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(coroutine)


def make_retire(record_id, *, writer="w"):
    """Return a small ownership record."""
    return Retire(record_id=record_id, writer=writer, incarnation="n#1")


def make_payload(record_id):
    """Return the payload of a small ownership record."""
    return encode_record(make_retire(record_id))


class LogFixture:
    """A log store with a client and an appender."""

    def __init__(self, *, rate_per_s=1000.0, **retention):
        self.store = LogStore(**retention)
        self.log = InProcessLog(store=self.store)
        self.metrics = Metrics()
        self.appender = Appender(
            log=self.log,
            stream=OWNERSHIP_STREAM,
            metrics=self.metrics,
            random=random.Random(1),
            pacer=Pacer(rate_per_s=rate_per_s),
        )

    def list_payloads(self):
        """Return the retained payloads of the ownership stream."""
        stream = self.store.get_stream(OWNERSHIP_STREAM)
        return [payload for _, payload in stream.records]
