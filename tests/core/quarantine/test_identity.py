"""Tests of papayatack.core.quarantine.identity."""

import dataclasses
import unittest

from papayatack.core.quarantine import (
    RequestIdentity,
    compute_fingerprints,
    compute_head_digest,
)

IDENTITY = RequestIdentity(
    service="desk",
    method=b"POST",
    host=b"shop.example",
    target=b"/orders/1?a=2",
    caller="papers",
    key="7",
)
CHANGES = {
    "service": "papers",
    "method": b"PUT",
    "host": b"other.example",
    "target": b"/orders/1?a=3",
    "caller": "desk",
    "key": "8",
}


def compute(identity=IDENTITY, prefix=b"body", *, is_whole=True):
    """Return the fingerprints of a request."""
    return compute_fingerprints(identity, prefix, is_whole=is_whole)


class IdentityTests(unittest.TestCase):
    """What makes two requests the same."""

    def test_each_attribute_distinguishes_requests(self):
        others = {
            compute(dataclasses.replace(IDENTITY, **{name: value})).exact
            for name, value in CHANGES.items()
        }
        self.assertEqual(len(others | {compute().exact}), len(CHANGES) + 1)

    def test_requests_that_differ_in_caller_or_key_are_alike(self):
        for name, value in CHANGES.items():
            other = dataclasses.replace(IDENTITY, **{name: value})
            is_alike = name in ("caller", "key")
            with self.subTest(name=name):
                self.assertEqual(compute(other).broad == compute().broad, is_alike)
                self.assertEqual(
                    compute_head_digest(other) == compute_head_digest(IDENTITY),
                    is_alike,
                )

    def test_last_byte_of_the_body_distinguishes_requests(self):
        self.assertNotEqual(compute(prefix=b"bodx"), compute(prefix=b"body"))
        self.assertNotEqual(compute(is_whole=False).broad, compute().broad)

    def test_parts_that_are_split_differently_are_not_the_same(self):
        first = dataclasses.replace(IDENTITY, host=b"ab", target=b"c")
        second = dataclasses.replace(IDENTITY, host=b"a", target=b"bc")
        self.assertNotEqual(compute(first), compute(second))

    def test_caller_of_any_length_is_a_key(self):
        long = dataclasses.replace(IDENTITY, caller="x" * 100)
        longer = dataclasses.replace(IDENTITY, caller="x" * 101)
        self.assertNotEqual(compute(long).exact, compute(longer).exact)
