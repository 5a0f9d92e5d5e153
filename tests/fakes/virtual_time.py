"""Test cases whose event loop has virtual time."""

import asyncio
import unittest

import looptime

__all__ = ["VirtualTimeTestCase"]


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs asynchronous tests on a clock that passes only while all tasks wait."""

    def _setupAsyncioRunner(self):  # noqa: N802
        self._asyncioRunner = asyncio.Runner(loop_factory=looptime.new_event_loop)
