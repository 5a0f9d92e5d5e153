"""Tests of papayatack.observability.lines."""

import asyncio
import json
import logging
import os
import unittest

from papayatack.observability.lines import LineHandler

ROUTINE_LINES = 3_000
"""Number of padded lines that exceeds the capacity of a pipe."""


class LineHandlerTests(unittest.IsolatedAsyncioTestCase):
    """Writing to a pipe whose reader may stop reading."""

    def setUp(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = LineHandler(descriptor=writer, max_lines=100)

    def emit(self, level, name, **fields):
        """Emit a log record."""
        values = {"name": "t", "levelno": level, "levelname": "L", "msg": name}
        self.handler.emit(logging.makeLogRecord({**values, **fields}))

    def read(self):
        """Return the documents of the lines received so far."""
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            data += chunk

    async def test_line_is_a_json_object_with_the_fields(self):
        """A record is written as a line of JSON with its fields."""
        self.emit(logging.INFO, "NAME", request="r-1", event=7)
        (line,) = self.read()
        self.assertEqual((line["message"], line["request"]), ("NAME", "r-1"))

    async def test_slow_reader_does_not_block_the_process(self):
        """Warnings are kept in preference to routine lines; drops are counted."""
        for number in range(ROUTINE_LINES):
            self.emit(logging.INFO, "ROUTINE", pad="x" * 100, number=number)
        for number in range(40):
            self.emit(logging.WARNING, "FAILURE", number=number)
        for _ in range(ROUTINE_LINES):
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
            2 * ROUTINE_LINES + 40,
        )
