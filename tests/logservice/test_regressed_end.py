"""Tests of a tailer whose log has fewer records than the tailer has read."""

import asyncio
import random

from returns.result import Success

from papayatack.core.records import CONFIG_STREAM
from papayatack.logservice.interface import LogPage
from papayatack.logservice.tailer import Tailer
from papayatack.observability.metrics import Metrics
from tests.logservice.helpers import VirtualTimeTestCase


class _ShorterLog:
    async def read(self, stream, offset, **options):
        """Return an empty page of a log that ends before ``offset``."""
        return Success(LogPage(first=offset, payloads=(), end=offset - 2))


class RegressedEndTests(VirtualTimeTestCase):
    """Tests of Tailer.read_once."""

    def test_log_that_has_lost_records_confirms_a_configuration(self):
        """It shows nothing about the records that it may have lost."""

        async def check():
            queue = asyncio.Queue()
            tailer = Tailer(
                log=_ShorterLog(),
                stream=CONFIG_STREAM,
                offset=5,
                queue=queue,
                metrics=Metrics(),
                random=random.Random(1),
                reports_end=True,
            )
            await tailer.read_once(wait_s=0.0)
            self.assertTrue(queue.empty())

        self.run_virtually(check())
