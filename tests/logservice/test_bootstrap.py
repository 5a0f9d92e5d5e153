"""Tests of papayatack.logservice.bootstrap."""

import asyncio
import dataclasses
import json
import random

from returns.result import Failure, Success

from papayatack.core.checkpoint import compute_payload_digest, split_document
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.bootstrap import BootstrapFailureKind, load_stream
from papayatack.logservice.interface import (
    LogFailure,
    LogFailureKind,
    StoredSnapshot,
)
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


class KeptSnapshots:
    """Keeps one snapshot, whose first reads may fail."""

    def __init__(self, *, covers, last_record, document="[[7]]", failures=0):
        self.snapshot = StoredSnapshot(
            writer="w", covers=covers, last_record=last_record, document=document
        )
        self.failures = failures

    async def read_snapshot(self, *, timeout_s):
        """Return the snapshot, or a failure."""
        if self.failures:
            self.failures -= 1
            return Failure(LogFailure(kind=LogFailureKind.REFUSED, detail="away"))
        return Success(self.snapshot)


def digest_record(number):
    """Return the digest of a small record that a test has appended."""
    return compute_payload_digest(make_payload(str(number)))


async def load(fixture, *, log=None, deadline_s=60.0, snapshots=None):
    """Load the ownership stream of a fixture, within ``deadline_s`` seconds."""
    return await load_stream(
        log=log or fixture.log,
        stream=OWNERSHIP_STREAM,
        create=list,
        load=lambda document: json.loads(document)[0],
        metrics=fixture.metrics,
        random=random.Random(1),
        deadline_s=asyncio.get_running_loop().time() + deadline_s,
        snapshots=snapshots,
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


class ReplacedHistoryLog(InProcessLog):
    """A log that has other records after a few reads, and says that they expired."""

    def __init__(self, *, store, replacement, after):
        super().__init__(store=store)
        self._replacement = replacement
        self._after = after
        self.read_from = []

    async def read(self, stream, offset, **kwargs):
        """Read at most three records; replace the history once."""
        self.read_from.append(offset)
        if len(self.read_from) == self._after:
            self._store = self._replacement
            return Failure(LogFailure(kind=LogFailureKind.EXPIRED, first=0))
        return await super().read(stream, offset, **{**kwargs, "limit": 3})


class SnapshotTests(VirtualTimeTestCase):
    """Tests of load_stream with a stored snapshot."""

    def load_with(self, snapshots, *, records=10, log=None):
        """Return what is loaded from a stream of some records, and the failed reads."""

        async def run():
            fixture = LogFixture()
            append_records(fixture, records)
            return (await load(fixture, log=log, snapshots=snapshots)).unwrap()

        return self.run_virtually(run())

    def assert_loaded(self, loaded, state, first):
        """Check the state and the first of the records that follow it."""
        self.assertEqual(loaded.state, state)
        self.assertEqual(list_offsets(loaded), list(range(first, 10)))
        self.assertEqual(loaded.next_offset, 10)

    def test_only_records_after_the_snapshot_are_to_be_applied(self):
        """The snapshot may cover some of the records, or all."""
        for covers in (1, 6, 10):
            snapshots = KeptSnapshots(
                covers=covers, last_record=digest_record(covers - 1)
            )
            self.assert_loaded(self.load_with(snapshots), [7], covers)

    def test_snapshot_is_read_again_after_failures(self):
        """A store that is away at first has it later."""
        snapshots = KeptSnapshots(covers=6, last_record=digest_record(5), failures=3)
        self.assert_loaded(self.load_with(snapshots), [7], 6)

    def test_snapshot_of_another_history_is_not_used(self):
        """The stream has another record at its last offset."""
        snapshots = KeptSnapshots(covers=6, last_record=digest_record(4))
        self.assert_loaded(self.load_with(snapshots), [], 0)

    def test_snapshot_beyond_the_end_of_the_stream_is_not_used(self):
        """The store has lost the last records that it covers."""
        for covers in (11, 12, 500):
            snapshots = KeptSnapshots(covers=covers, last_record="x")
            self.assert_loaded(self.load_with(snapshots), [], 0)

    def test_snapshot_that_cannot_be_loaded_is_not_used(self):
        """The whole stream is loaded instead."""
        snapshots = KeptSnapshots(
            covers=6, last_record=digest_record(5), document="no JSON"
        )
        self.assert_loaded(self.load_with(snapshots), [], 0)

    def test_snapshot_is_compared_again_after_the_history_was_replaced(self):
        """It belonged to the history that was read first."""

        async def check():
            fixture, other = LogFixture(), LogFixture()
            append_records(fixture, 10)
            append_records(other, 10, first=100)
            log = ReplacedHistoryLog(
                store=fixture.store, replacement=other.store, after=2
            )
            snapshots = KeptSnapshots(covers=4, last_record=digest_record(3))
            loaded = (await load(fixture, log=log, snapshots=snapshots)).unwrap()
            self.assert_loaded(loaded, [], 0)
            self.assertEqual(log.read_from[:2], [3, 6])

        self.run_virtually(check())
