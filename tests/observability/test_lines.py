"""Tests of papayatack.observability.lines."""

import asyncio
import json
import logging
import os
import unittest

from papayatack.observability.lines import LineHandler

PIPE_LINES = 3_000


class LineTests(unittest.IsolatedAsyncioTestCase):
    """Lines over a pipe whose reader may stop."""

    def setUp(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = LineHandler(descriptor=writer, max_lines=100)

    def emit(self, level, name, **fields):
        """Write one record."""
        values = {"name": "t", "levelno": level, "levelname": "L", "msg": name}
        self.handler.emit(logging.makeLogRecord({**values, **fields}))

    def read(self):
        """Return the lines that have arrived."""
        data = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            data += part

    async def test_a_line_has_the_fields(self):
        """It is one JSON object."""
        self.emit(logging.INFO, "NAME", request="r-1", event=7)
        (line,) = self.read()
        self.assertEqual((line["message"], line["request"]), ("NAME", "r-1"))

    async def test_a_reader_that_stops_does_not_stop_the_node(self):
        """Reasons of failures are kept before routine lines; the rest is counted."""
        for number in range(PIPE_LINES):
            self.emit(logging.INFO, "ROUTINE", pad="x" * 100, number=number)
        for number in range(40):
            self.emit(logging.WARNING, "FAILURE", number=number)
        for _ in range(PIPE_LINES):
            self.emit(logging.INFO, "ROUTINE")
        lines = []
        for _ in range(20):
            lines += self.read()
            await asyncio.sleep(0.01)
        failures = [line for line in lines if line["message"] == "FAILURE"]
        self.assertEqual(len(failures), 40)
        dropped = [line for line in lines if line["message"] == "LOG_LINES_DROPPED"]
        self.assertEqual(
            len(lines) - len(dropped) + sum(line["count"] for line in dropped),
            2 * PIPE_LINES + 40,
        )
