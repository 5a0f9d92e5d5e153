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
    """Return a strategy for the records of a stream."""
    strategies = {str: TEXT, int: INTEGERS}
    for value_type, strategy in strategies.items():
        st.register_type_strategy(value_type, strategy)
    classes = RECORD_KINDS[stream].values()
    return st.one_of([st.builds(record_class) for record_class in classes])


def encode_document(**changes):
    """Return the payload of a valid record with ``changes`` to its members."""
    document = {"v": 1, "kind": "retire", "record_id": "r", "writer": "w"}
    document["incarnation"] = "n#1"
    document.update(changes)
    return json.dumps(document).encode()


class RoundTripTests(unittest.TestCase):
    """Encoding and decoding of records."""

    def check_round_trip(self, stream):
        """Check that each record of a stream is equal after encoding and decoding."""

        @hypothesis.given(build_records(stream))
        def check(record):
            decoded = decode_record(stream, encode_record(record))
            self.assertEqual(decoded, Success(record))

        check()

    def test_ownership_records_decode_to_equal_ones(self):
        """An ownership record is equal after encoding and decoding."""
        self.check_round_trip(OWNERSHIP_STREAM)

    def test_config_records_decode_to_equal_ones(self):
        """A config record is equal after encoding and decoding."""
        self.check_round_trip(CONFIG_STREAM)

    def test_every_record_has_a_kind(self):
        """The kinds of each stream cover exactly the classes of its union."""
        for stream, union in (
            (CONFIG_STREAM, records.ConfigRecord),
            (OWNERSHIP_STREAM, records.OwnershipRecord),
        ):
            with self.subTest(stream=stream):
                classes = set(RECORD_KINDS[stream].values())
                self.assertEqual(classes, set(typing.get_args(union)))

    def test_oversized_record_is_not_encoded(self):
        """A record that every reader would skip raises an error at the writer."""
        record = records.Publish(
            record_id="r", writer="w", base_version=0, inventory="x" * MAX_RECORD_BYTES
        )
        with self.assertRaises(RecordTooLargeError):
            encode_record(record)


class BadPayloadTests(unittest.TestCase):
    """Decoding of invalid payloads."""

    def assert_fails(self, payload, kind, *, stream=OWNERSHIP_STREAM):
        """Check that decoding a payload fails with ``kind``."""
        match decode_record(stream, payload):
            case Failure(failure):
                self.assertIs(failure.kind, kind)
            case Success(record):
                self.fail(f"decoded to {record}")

    def test_unknown_fields_are_ignored(self):
        """A record with fields of a later version still decodes."""
        result = decode_record(OWNERSHIP_STREAM, encode_document(added=[1, {}]))
        self.assertEqual(result.unwrap().record_id, "r")

    def test_non_object_payloads_are_malformed(self):
        """Bytes that are not a JSON object are malformed."""
        for payload in (b"", b"\xff\xfe", b"{", b"[]", b"null", b"7", b"[" * 100_000):
            with self.subTest(payload=payload[:10]):
                self.assert_fails(payload, RecordFailureKind.MALFORMED)

    def test_truncated_payloads_are_malformed(self):
        """No proper prefix of a record decodes."""
        payload = encode_document()
        for length in range(len(payload)):
            self.assert_fails(payload[:length], RecordFailureKind.MALFORMED)

    def test_oversized_payload_is_not_parsed(self):
        """A payload over the limit fails as oversized, whatever its content."""
        payload = encode_document(added="x" * MAX_RECORD_BYTES)
        self.assert_fails(payload, RecordFailureKind.OVERSIZED)

    def test_other_format_version_is_unsupported(self):
        """A record of a later format version is skipped."""
        payload = encode_document(v=2)
        self.assert_fails(payload, RecordFailureKind.UNSUPPORTED_VERSION)

    def test_unknown_kind_is_rejected(self):
        """A kind of a later version, or of the other stream, is skipped."""
        payload = encode_document(kind="later")
        self.assert_fails(payload, RecordFailureKind.UNKNOWN_KIND)
        payload = encode_document()
        self.assert_fails(payload, RecordFailureKind.UNKNOWN_KIND, stream=CONFIG_STREAM)

    def test_values_of_wrong_types_are_not_converted(self):
        """A value of another type than its field is invalid."""
        for member in (7, None, ["x"], {"a": 1}, True):
            with self.subTest(member=member):
                payload = encode_document(record_id=member)
                self.assert_fails(payload, RecordFailureKind.INVALID_FIELDS)

    def test_numbers_out_of_range_are_invalid(self):
        """A record with a number that some nodes cannot represent is skipped."""
        lease = {"incarnation": "n#1", "term": 1}
        for number in (-1, MAX_INTEGER + 1, 10**30, 1.5, True, "7"):
            with self.subTest(number=number):
                payload = encode_document(kind="fenced", lease=lease, floor=number)
                self.assert_fails(payload, RecordFailureKind.INVALID_FIELDS)

    @hypothesis.given(st.binary(max_size=200))
    def test_arbitrary_bytes_do_not_raise(self, payload):
        """Decoding any bytes raises no exception."""
        decode_record(OWNERSHIP_STREAM, payload)

    @hypothesis.given(st.data())
    def test_arbitrary_field_values_do_not_raise(self, data):
        """Decoding a known kind with any JSON values raises no exception."""
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
    """Encoding of leases in records."""

    def test_lease_is_encoded_as_an_object(self):
        """The JSON format of a lease does not change."""
        record = records.Fenced(
            record_id="r", writer="w", lease=LeaseId("n#1", 2), floor=3
        )
        document = json.loads(encode_record(record))
        self.assertEqual(document["lease"], {"incarnation": "n#1", "term": 2})
        self.assertEqual(document["kind"], "fenced")
