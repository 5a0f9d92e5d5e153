"""Tests of papayatack.logservice.bootstrap."""

import asyncio
import dataclasses
import json
import random

from papayatack.core.checkpoint import split_document
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.bootstrap import BootstrapFailureKind, load_stream
from papayatack.observability.events import Event
from papayatack.wire.records import encode_record
from standins.logstore import InProcessLog, Outage
from tests.logservice.helpers import LogFixture, VirtualTimeTestCase, make_payload

AWAY_S = (0.5, 2.0, 3.0, 4.5, 6.0, 9.0, 13.0, 24.0, 29.0)
NOTICED_S = 3.0


class ExpiringLog(InProcessLog):
    """A log whose oldest records expire after each read."""

    def __init__(self, *, store, expiries):
        super().__init__(store=store)
        self._expiring_store = store
        self._expiries = iter(expiries)

    async def read(self, stream, offset, **kwargs):
        """Read at most three records, then expire some."""
        result = await super().read(stream, offset, **{**kwargs, "limit": 3})
        self._expiring_store.expire(stream, next(self._expiries, 0))
        return result


def append_records(fixture, count, *, first=0):
    """Append small records whose ids are consecutive numbers."""
    for number in range(first, first + count):
        fixture.store.append(OWNERSHIP_STREAM, make_payload(str(number)))


def append_checkpoint(fixture, *, covers, state, keep=None, checkpoint_id="c"):
    """Append a checkpoint of several chunks, or only its first ``keep`` chunks."""
    filler = random.Random(1).randbytes(300_000).hex()
    document = json.dumps([state, filler])
    chunks = split_document(
        document, covers=covers, checkpoint_id=checkpoint_id, writer="w"
    )
    for chunk in chunks[:keep]:
        fixture.store.append(OWNERSHIP_STREAM, encode_record(chunk))
    return len(chunks)


async def load(fixture, *, log=None, deadline_s=60.0):
    """Load the ownership stream of a fixture, within ``deadline_s`` seconds."""
    return await load_stream(
        log=log or fixture.log,
        stream=OWNERSHIP_STREAM,
        create=list,
        load=lambda document: json.loads(document)[0],
        metrics=fixture.metrics,
        random=random.Random(1),
        deadline_s=asyncio.get_running_loop().time() + deadline_s,
    )


async def measure_load(outage, away_s):
    """Return the seconds from the return of the log until the stream is loaded."""
    fixture = LogFixture()
    append_records(fixture, 5)
    faults = fixture.store.faults
    faults.outage = outage
    loop = asyncio.get_running_loop()
    back_s = loop.time() + away_s
    loop.call_at(back_s, setattr, faults, "outage", Outage.NONE)
    (await load(fixture)).unwrap()
    return loop.time() - back_s


def list_offsets(loaded):
    """Return the offsets of the records to apply to the loaded state."""
    return [logged.offset for logged in loaded.records]


class LoadTests(VirtualTimeTestCase):
    """Tests of load_stream."""

    def test_empty_log_gives_the_empty_state(self):
        """A log without records gives the empty state at offset 0."""

        async def check():
            loaded = (await load(LogFixture())).unwrap()
            self.assertEqual((loaded.state, loaded.next_offset), ([], 0))

        self.run_virtually(check())

    def test_whole_log_is_folded_without_a_checkpoint(self):
        """Without a checkpoint, all records are folded if the first is retained."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 1200)
            loaded = (await load(fixture)).unwrap()
            self.assertEqual(list_offsets(loaded), list(range(1200)))

        self.run_virtually(check())

    def test_undecodable_payload_keeps_its_offset(self):
        """A payload that cannot be decoded yields an offset without a record."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 1)
            fixture.store.append(OWNERSHIP_STREAM, b"\xff")
            append_records(fixture, 1, first=1)
            loaded = (await load(fixture)).unwrap()
            kept = [logged.record is not None for logged in loaded.records]
            self.assertEqual(kept, [True, False, True])

        self.run_virtually(check())

    def test_newest_complete_checkpoint_is_loaded(self):
        """Only the records after the newest complete checkpoint are to be applied."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 5)
            append_checkpoint(fixture, covers=3, state=["old"], checkpoint_id="old")
            append_checkpoint(fixture, covers=5, state=["new"], checkpoint_id="new")
            append_checkpoint(
                fixture, covers=6, state=["half"], keep=-1, checkpoint_id="half"
            )
            append_records(fixture, 2, first=5)
            fixture.store.expire(OWNERSHIP_STREAM, 4)
            loaded = (await load(fixture)).unwrap()
            self.assertEqual(loaded.state, ["new"])
            self.assertEqual(list_offsets(loaded), list(range(5, loaded.next_offset)))

        self.run_virtually(check())

    def test_checkpoint_before_a_gap_is_not_used(self):
        """A checkpoint is unusable if records that follow it have expired."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 5)
            append_checkpoint(fixture, covers=3, state=["old"])
            fixture.store.expire(OWNERSHIP_STREAM, 4)
            failure = (await load(fixture)).failure()
            self.assertIs(failure.kind, BootstrapFailureKind.NO_CHECKPOINT)
            self.assertIn(OWNERSHIP_STREAM, failure.detail)

        self.run_virtually(check())

    def test_checkpoint_whose_chunk_expires_during_the_read_is_not_used(self):
        """A checkpoint is not used if one of its chunks expires before it is read."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 2)
            chunks = append_checkpoint(
                fixture, covers=2, state=["old"], checkpoint_id="old"
            )
            append_records(fixture, 4, first=2)
            covers = chunks + 6
            append_checkpoint(fixture, covers=covers, state=["new"])
            log = ExpiringLog(store=fixture.store, expiries=[4, 5, chunks + 3])
            loaded = (await load(fixture, log=log)).unwrap()
            self.assertEqual(loaded.state, ["new"])
            self.assertEqual(list_offsets(loaded)[0], covers)

        self.run_virtually(check())

    def test_records_after_the_checkpoint_are_kept_when_others_expire(self):
        """After a gap, exactly the records that follow the checkpoint are returned."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 8)
            append_checkpoint(fixture, covers=6, state=["new"])
            log = ExpiringLog(store=fixture.store, expiries=[6])
            loaded = (await load(fixture, log=log)).unwrap()
            self.assertEqual(loaded.state, ["new"])
            self.assertEqual(list_offsets(loaded), list(range(6, loaded.next_offset)))

        self.run_virtually(check())

    def test_return_of_a_log_that_did_not_answer_is_noticed_seconds_later(self):
        """A node that starts meanwhile has loaded the stream 3 s after the return."""
        for outage in (Outage.HANG, Outage.REFUSE, Outage.CLOSE):
            for away_s in AWAY_S:
                with self.subTest(outage=outage, away_s=away_s):
                    late_s = self.run_virtually(measure_load(outage, away_s))
                    self.assertLessEqual(late_s, NOTICED_S)

    def test_waits_until_another_node_writes_a_checkpoint(self):
        """A checkpoint that is written while the new node waits is loaded."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 5)
            fixture.store.expire(OWNERSHIP_STREAM, 5)
            task = asyncio.create_task(load(fixture))
            await asyncio.sleep(30)
            append_checkpoint(fixture, covers=5, state=["new"])
            self.assertEqual((await task).unwrap().state, ["new"])

        self.run_virtually(check())

    def test_corrupted_checkpoints_are_skipped(self):
        """If the newest checkpoints are corrupted, the one before them is loaded."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 5)
            append_checkpoint(fixture, covers=5, state=["old"])
            (chunk,) = split_document(
                "no JSON", covers=6, checkpoint_id="bad", writer="w"
            )
            fixture.store.append(OWNERSHIP_STREAM, encode_record(chunk))
            corrupted = dataclasses.replace(chunk, checkpoint_id="worse", data="AAAA")
            fixture.store.append(OWNERSHIP_STREAM, encode_record(corrupted))
            fixture.store.expire(OWNERSHIP_STREAM, 4)
            loaded = (await load(fixture)).unwrap()
            self.assertEqual(loaded.state, ["old"])

        self.run_virtually(check())

    def test_outage_is_retried_until_the_deadline(self):
        """Loading resumes after an outage, unless it outlasts the deadline."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.REFUSE
            failure = (await load(fixture, deadline_s=30)).failure()
            self.assertIs(failure.kind, BootstrapFailureKind.LOG_UNAVAILABLE)
            task = asyncio.create_task(load(fixture))
            await asyncio.sleep(30)
            fixture.store.faults.outage = Outage.NONE
            self.assertEqual((await task).unwrap().state, [])

        self.run_virtually(check())

    def test_node_that_still_loads_says_how_far_it_is(self):
        """Each second a line has the records, the failed reads and their reason."""

        async def check():
            fixture = LogFixture()
            append_records(fixture, 5)
            fixture.store.faults.outage = Outage.REFUSE
            logger = "papayatack.logservice.bootstrap"
            with self.assertLogs(logger, level="WARNING") as logged:
                (await load(fixture, deadline_s=2.5)).failure()
            lines = [
                line for line in logged.records if line.event == Event.BOOTSTRAP_WAITING
            ]
            self.assertEqual([line.waited_ms for line in lines], [1000, 2000])
            self.assertEqual({(line.records, line.reads) for line in lines}, {(0, 0)})
            self.assertGreater(lines[1].failed, lines[0].failed)
            self.assertTrue(lines[0].detail)

        self.run_virtually(check())
