"""Tests of papayatack.core.checkpoint."""

import base64
import dataclasses
import functools
import random
import unittest
import unittest.mock
import zlib

import hypothesis
from hypothesis import strategies as st
from returns.result import Failure

from papayatack.core.checkpoint import (
    MAX_CHUNKS,
    CheckpointAssembler,
    CheckpointFailure,
    CheckpointSchedule,
    choose_checkpoint,
    split_document,
)
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.wire.records import decode_record, encode_record

RETENTION_S = 86_400.0


@functools.cache
def make_document(seed, *, size=400_000):
    """Return a document that does not fit into one chunk even when compressed."""
    return random.Random(seed).randbytes(size).hex()


def split(document, *, covers=7, checkpoint_id="c", writer="w"):
    """Split a document, with default metadata."""
    return split_document(
        document, covers=covers, checkpoint_id=checkpoint_id, writer=writer
    )


def feed(chunks, *, first=100):
    """Add chunks to a new assembler and return the results."""
    assembler = CheckpointAssembler()
    return [assembler.add(first + index, chunk) for index, chunk in enumerate(chunks)]


def list_documents(results):
    """Return the documents of the results that are checkpoints."""
    return [result.unwrap().document for result in results if not is_failure(result)]


def is_failure(result):
    """Return whether a result is a failure."""
    return isinstance(result, Failure)


def complete(**fields):
    """Return a small complete checkpoint."""
    (chunk,) = split("x", **fields)
    return CheckpointAssembler().add(100, chunk).unwrap()


class SplitTests(unittest.TestCase):
    """Tests of split_document."""

    def test_each_chunk_fits_into_one_record(self):
        """Every chunk can be encoded and decoded as one record."""
        chunks = split(make_document(1))
        self.assertGreater(len(chunks), 2)
        for chunk in chunks:
            payload = encode_record(chunk)
            decoded = decode_record(OWNERSHIP_STREAM, payload)
            self.assertEqual(decoded.unwrap(), chunk)

    def test_document_with_too_many_chunks_is_refused(self):
        """The writer refuses a document that readers would not accept."""
        with (
            unittest.mock.patch("papayatack.core.checkpoint.MAX_CHUNKS", 2),
            self.assertRaises(ValueError),
        ):
            split(make_document(1))


class AssemblerTests(unittest.TestCase):
    """Tests of CheckpointAssembler."""

    @hypothesis.given(st.text(st.characters(exclude_categories=["Cs"])))
    def test_round_trip(self, document):
        """Any document is restored unchanged."""
        self.assertEqual(list_documents(feed(split(document))), [document])

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(st.randoms(use_true_random=False))
    def test_chunks_of_two_writers_in_any_order(self, rng):
        """Interleaved, reordered and repeated chunks yield both documents."""
        documents = [make_document(1), make_document(2)]
        chunks = [
            chunk
            for index, document in enumerate(documents)
            for chunk in split(document, checkpoint_id=f"c{index}")
        ]
        chunks += rng.sample(chunks, 2)
        rng.shuffle(chunks)
        self.assertLessEqual(set(documents), set(list_documents(feed(chunks))))

    def test_incomplete_checkpoint_is_ignored(self):
        """If a writer stops half-way, later checkpoints are still assembled."""
        abandoned = split(make_document(1), checkpoint_id="dead")[:-1]
        whole = split(make_document(2))
        results = feed(abandoned + whole)
        self.assertEqual(list_documents(results), [make_document(2)])

    def test_number_of_incomplete_checkpoints_is_bounded(self):
        """Chunks of writers that failed do not accumulate."""
        assembler = CheckpointAssembler()
        chunk = split(make_document(1))[0]
        for number in range(1000):
            other = dataclasses.replace(chunk, checkpoint_id=str(number))
            assembler.add(100 + number, other)
        self.assertLessEqual(len(assembler._partial), 4)

    def test_corrupted_chunk_is_detected(self):
        """A checkpoint with a corrupted chunk is not accepted."""
        chunks = list(split(make_document(1)))
        data = chunks[1].data
        swapped = data[1000:2000] + data[:1000] + data[2000:]
        chunks[1] = dataclasses.replace(chunks[1], data=swapped)
        self.assertTrue(all(map(is_failure, feed(chunks))))

    def test_document_with_wrong_digest_is_refused(self):
        """A readable document that does not match its digest is refused."""
        (chunk,) = split("right")
        data = base64.b64encode(zlib.compress(b"wrong")).decode()
        (result,) = feed([dataclasses.replace(chunk, data=data)])
        self.assertIs(result.failure(), CheckpointFailure.DIGEST_MISMATCH)

    def test_inconsistent_chunk_does_not_affect_others(self):
        """A chunk whose header differs does not invalidate chunks with the same id."""
        chunks = list(split(make_document(1)))
        for changed in ({"digest": "0"}, {"covers": 3}, {"count": 2}, {"writer": "x"}):
            inconsistent = dataclasses.replace(chunks[1], **changed)
            with self.subTest(changed=changed):
                results = feed([chunks[0], inconsistent, *chunks[1:]])
                self.assertEqual(list_documents(results), [make_document(1)])

    def test_invalid_chunks_are_refused(self):
        """Chunks with values out of range are refused."""
        (chunk,) = split("x")
        for changed in (
            {"index": 1},
            {"count": 0},
            {"count": MAX_CHUNKS + 1},
            {"covers": 101},
            {"data": "x" * 200_000},
        ):
            with self.subTest(changed=changed):
                (result,) = feed([dataclasses.replace(chunk, **changed)])
                self.assertIs(result.failure(), CheckpointFailure.INVALID_CHUNK)

    @hypothesis.given(st.text(max_size=50))
    def test_arbitrary_data_raises_no_exception(self, data):
        """Arbitrary text as the data of a chunk causes a failure, not an exception."""
        (chunk,) = split("x")
        (result,) = feed([dataclasses.replace(chunk, data=data)])
        self.assertTrue(is_failure(result) or result.unwrap().document == "x")


class ChooseTests(unittest.TestCase):
    """Tests of choose_checkpoint."""

    def test_newest_usable_checkpoint_is_chosen(self):
        """The newest checkpoint whose following records are retained is chosen."""
        checkpoints = [complete(covers=covers) for covers in (10, 50, 30)]
        chosen = choose_checkpoint(checkpoints, oldest_offset=20)
        self.assertEqual(chosen.covers, 50)

    def test_checkpoint_before_gap_is_not_chosen(self):
        """A checkpoint is unusable if records that follow it have expired."""
        self.assertIsNone(choose_checkpoint([complete(covers=10)], oldest_offset=11))
        self.assertIsNotNone(choose_checkpoint([complete(covers=10)], oldest_offset=10))


class ScheduleTests(unittest.TestCase):
    """Tests of CheckpointSchedule."""

    def make(self, name="n", *, now=0.0):
        """Return the schedule of a node."""
        return CheckpointSchedule(incarnation=name, retention_s=RETENTION_S, now=now)

    def test_due_well_before_retention_ends(self):
        """A checkpoint is due after a quarter to a half of the retention."""
        for number in range(100):
            schedule = self.make(str(number))
            schedule.note_checkpoint(complete(), now=0.0)
            self.assertFalse(schedule.is_due(now=RETENTION_S / 4 - 1))
            self.assertTrue(schedule.is_due(now=RETENTION_S / 2))

    def test_few_nodes_are_due_at_once(self):
        """Of 1,000 nodes, at most 5 are due within 5 s of the first."""
        due = []
        for number in range(1000):
            schedule = self.make(str(number))
            schedule.note_checkpoint(complete(), now=0.0)
            due.append(schedule.find_due_s())
        due.sort()
        early = [due_s for due_s in due if due_s < due[0] + 5.0]
        self.assertLessEqual(len(early), 5)

    def test_first_node_due_varies(self):
        """The order in which nodes are due depends on the previous checkpoint."""
        first = set()
        for checkpoint_id in map(str, range(20)):
            schedules = {}
            for name in map(str, range(20)):
                schedules[name] = self.make(name)
                checkpoint = complete(checkpoint_id=checkpoint_id)
                schedules[name].note_checkpoint(checkpoint, now=0.0)
            first.add(min(schedules, key=lambda key: schedules[key].find_due_s()))
        self.assertGreater(len(first), 5)

    def test_loaded_checkpoint_counts_as_old(self):
        """A checkpoint loaded at start-up counts as old, since its age is unknown."""
        schedule = self.make()
        schedule.note_loaded(complete(), now=0.0)
        self.assertTrue(schedule.is_due(now=RETENTION_S / 8))

    def test_not_due_while_another_node_writes(self):
        """A node waits while it reads chunks of another writer."""
        schedule = self.make()
        schedule.note_chunk(now=RETENTION_S)
        self.assertFalse(schedule.is_due(now=RETENTION_S + 29))
        self.assertTrue(schedule.is_due(now=RETENTION_S + 31))

    def test_older_checkpoint_does_not_delay_next(self):
        """An older checkpoint that is completed later does not change the due time."""
        schedule = self.make()
        schedule.note_checkpoint(complete(covers=20), now=0.0)
        due_s = schedule.find_due_s()
        schedule.note_checkpoint(complete(covers=10, checkpoint_id="d"), now=99.0)
        self.assertEqual(schedule.find_due_s(), due_s)

    def test_nodes_are_spread_after_outage(self):
        """After an outage of the log, nodes write checkpoints spread over a minute."""
        due = []
        for number in range(100):
            schedule = self.make(str(number))
            schedule.note_log_recovered(now=RETENTION_S * 2)
            due.append(schedule.find_due_s() - RETENTION_S * 2)
        self.assertLess(max(due), 61)
        self.assertGreater(max(due) - min(due), 30)
