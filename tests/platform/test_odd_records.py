"""Tests with odd records in the topics of the store that a node reads."""

import asyncio
import random
import unittest

import looptime

from papayatack.control.loading import load_streams
from papayatack.core.ownership import dump_state
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.observability.metrics import Metrics
from papayatack.platform.history import KEY_PREFIX, Restoration
from standins.logstore import InProcessLog
from tests.fakes.nodes import NodeFixture

KEYS = [f"key-{number}" for number in range(8)]
PLACES = {"a": "east", "b": "west", "c": "south"}
DEEP = 50_000
ODD_RECORDS = (
    b"",
    b"\xff\xfe",
    b"[" * DEEP,
    b'{"v":1,"kind":"attach","x":' * 500 + b"0" + b"}" * 500,
    b'{"v":1,"kind":"attach","slots":' + b"9" * 5000 + b"}",
    b'{"v":1,"kind":"attach","record_id":"x","writer":"a#1","incarnation":"a#1",'
    b'"service":"orders","upstream":"h:99999","slots":1e999,"connections":1}',
    b'{"v":1,"v":7,"kind":"announce","kind":"attach"}',
    b'{"v":1,"kind":"\\ud800"}',
)
ODD_RESTORATIONS = (
    b"",
    b"[" * DEEP,
    b"[]",
    b"7",
    b"{}",
    b'{"base":1,"first":-1,"count":1,"era":1}',
    b'{"base":' + b"9" * 400 + b',"first":1}',
    b"\xff",
)


class OddRecordTests(unittest.TestCase):
    """Another writer has left entries that no version of the program writes."""

    def test_odd_restoration_is_another_record(self):
        """None is read as a restoration, and none raises an error."""
        for value in ODD_RESTORATIONS:
            with self.subTest(value=value[:40]):
                self.assertIsNone(Restoration.decode(KEY_PREFIX + b"1", value))

    def test_nodes_go_on_and_new_ones_start_beside_odd_records(self):
        """All keys stay served, and a loaded state equals that of the nodes."""

        async def run():
            fixture = NodeFixture()
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await fixture.wait_served(KEYS, 15)
            for payload in ODD_RECORDS:
                fixture.store.append(OWNERSHIP_STREAM, payload)
            await asyncio.sleep(1)
            fixture.start("d", "east")
            await asyncio.sleep(8)
            await fixture.wait_served(KEYS, 1)
            loaded = await load_streams(
                log=InProcessLog(store=fixture.store),
                metrics=Metrics(),
                random=random.Random(1),
                deadline_s=asyncio.get_running_loop().time() + 10,
            )
            ended = [task for task in fixture.tasks.values() if task.done()]
            dumps = [dump_state(n.core.state) for n in fixture.network.nodes.values()]
            await fixture.stop()
            return ended, dumps, dump_state(loaded.unwrap()[0])

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            ended, dumps, loaded = runner.run(run())
        self.assertEqual(ended, [])
        self.assertEqual(set(dumps), {loaded})
