"""Tests of papayatack.wire.records."""

import dataclasses
import json
import typing
import unittest

import hypothesis
from hypothesis import strategies as st
from returns.result import Failure, Success

from papayatack.core import records
from papayatack.core.identity import LeaseId
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.wire.records import (
    MAX_INTEGER,
    MAX_RECORD_BYTES,
    RECORD_KINDS,
    RecordFailureKind,
    RecordTooLargeError,
    decode_record,
    encode_record,
)

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
INTEGERS = st.integers(0, MAX_INTEGER)


def build_records(stream):
    """Return a strategy for all records of a stream."""
    with_primitives = {str: TEXT, int: INTEGERS}
    for kind, strategy in with_primitives.items():
        st.register_type_strategy(kind, strategy)
    classes = RECORD_KINDS[stream].values()
    return st.one_of([st.builds(record_class) for record_class in classes])


def encode_document(**changes):
    """Return the payload of a valid record with some members changed."""
    document = {"v": 1, "kind": "retire", "record_id": "r", "writer": "w"}
    document["incarnation"] = "n#1"
    document.update(changes)
    return json.dumps(document).encode()


class RoundTripTests(unittest.TestCase):
    """encode_record and decode_record together."""

    def check_round_trip(self, stream):
        """Check that each record of the stream decodes to itself."""

        @hypothesis.given(build_records(stream))
        def check(record):
            decoded = decode_record(stream, encode_record(record))
            self.assertEqual(decoded, Success(record))

        check()

    def test_ownership_records(self):
        """Each ownership record decodes to what was encoded."""
        self.check_round_trip(OWNERSHIP_STREAM)

    def test_config_records(self):
        """Each config record decodes to what was encoded."""
        self.check_round_trip(CONFIG_STREAM)

    def test_every_record_has_a_kind(self):
        """The table of kinds lists the classes of both unions."""
        for stream, union in (
            (CONFIG_STREAM, records.ConfigRecord),
            (OWNERSHIP_STREAM, records.OwnershipRecord),
        ):
            with self.subTest(stream=stream):
                classes = set(RECORD_KINDS[stream].values())
                self.assertEqual(classes, set(typing.get_args(union)))

    def test_large_record_is_not_written(self):
        """What no reader would accept is refused at the writer."""
        record = records.Publish(
            record_id="r", writer="w", base_version=0, inventory="x" * MAX_RECORD_BYTES
        )
        with self.assertRaises(RecordTooLargeError):
            encode_record(record)


class BadPayloadTests(unittest.TestCase):
    """decode_record on what is not a record."""

    def assert_fails(self, payload, kind, *, stream=OWNERSHIP_STREAM):
        """Check that a payload fails in the given way."""
        match decode_record(stream, payload):
            case Failure(failure):
                self.assertIs(failure.kind, kind)
            case Success(record):
                self.fail(f"decoded to {record}")

    def test_unknown_fields_are_ignored(self):
        """A later version may add fields."""
        result = decode_record(OWNERSHIP_STREAM, encode_document(added=[1, {}]))
        self.assertEqual(result.unwrap().record_id, "r")

    def test_garbage(self):
        """Bytes that are not a JSON object are malformed."""
        for payload in (b"", b"\xff\xfe", b"{", b"[]", b"null", b"7", b"[" * 100_000):
            with self.subTest(payload=payload[:10]):
                self.assert_fails(payload, RecordFailureKind.MALFORMED)

    def test_truncated(self):
        """No truncation of a record decodes."""
        payload = encode_document()
        for length in range(len(payload)):
            self.assert_fails(payload[:length], RecordFailureKind.MALFORMED)

    def test_oversized(self):
        """A payload above the limit is not even parsed."""
        payload = encode_document(added="x" * MAX_RECORD_BYTES)
        self.assert_fails(payload, RecordFailureKind.OVERSIZED)

    def test_other_version(self):
        """A format version that is not this one is skipped."""
        payload = encode_document(v=2)
        self.assert_fails(payload, RecordFailureKind.UNSUPPORTED_VERSION)

    def test_unknown_kind(self):
        """A kind of a later version, or of the other stream, is skipped."""
        payload = encode_document(kind="later")
        self.assert_fails(payload, RecordFailureKind.UNKNOWN_KIND)
        payload = encode_document()
        self.assert_fails(payload, RecordFailureKind.UNKNOWN_KIND, stream=CONFIG_STREAM)

    def test_wrong_types(self):
        """Fields of other types are not converted."""
        for member in (7, None, ["x"], {"a": 1}, True):
            with self.subTest(member=member):
                payload = encode_document(record_id=member)
                self.assert_fails(payload, RecordFailureKind.INVALID_FIELDS)

    def test_numbers_out_of_bounds(self):
        """A number that a field cannot hold on every node is skipped."""
        lease = {"incarnation": "n#1", "term": 1}
        for number in (-1, MAX_INTEGER + 1, 10**30, 1.5, True, "7"):
            with self.subTest(number=number):
                payload = encode_document(kind="fenced", lease=lease, floor=number)
                self.assert_fails(payload, RecordFailureKind.INVALID_FIELDS)

    @hypothesis.given(st.binary(max_size=200))
    def test_any_bytes(self, payload):
        """No payload raises."""
        decode_record(OWNERSHIP_STREAM, payload)

    @hypothesis.given(st.data())
    def test_any_json(self, data):
        """No JSON document under a known kind raises."""
        value = st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
            lambda inner: st.lists(inner) | st.dictionaries(TEXT, inner),
            max_leaves=5,
        )
        kind = data.draw(st.sampled_from(sorted(RECORD_KINDS[OWNERSHIP_STREAM])))
        record_class = RECORD_KINDS[OWNERSHIP_STREAM][kind]
        names = [field.name for field in dataclasses.fields(record_class)]
        document = {name: data.draw(value) for name in names}
        payload = json.dumps({"v": 1, "kind": kind, **document}).encode()
        decode_record(OWNERSHIP_STREAM, payload)


class LeaseTests(unittest.TestCase):
    """Records that hold leases."""

    def test_lease_is_an_object(self):
        """The format of a lease is stable."""
        record = records.Fenced(
            record_id="r", writer="w", lease=LeaseId("n#1", 2), floor=3
        )
        document = json.loads(encode_record(record))
        self.assertEqual(document["lease"], {"incarnation": "n#1", "term": 2})
        self.assertEqual(document["kind"], "fenced")
