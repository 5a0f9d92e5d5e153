"""Tests of papayatack.proxy.classification and papayatack.proxy.headers."""

import dataclasses
import unittest

from hypothesis import given, strategies as st

from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import Configuration, KeySource, RequestClass
from papayatack.network.exchanges import Request
from papayatack.proxy.classification import Classifier
from papayatack.proxy.headers import clean_request_headers, clean_response_headers
from tests.proxy.fakes import CONFIGURATION, HIRING


def classify(target, *, method=b"GET", headers=(), configuration=CONFIGURATION):
    """Return the result for one request."""
    request = Request(method=method, target=target, headers=headers)
    return Classifier(configuration=configuration).classify(request)


class KeyTests(unittest.TestCase):
    """Services and keys."""

    def test_key_is_read_from_the_path(self):
        """The numbered segment after the prefix is the key."""
        found = classify(b"/hiring/vacancies/V17/apply?x=1").unwrap()
        self.assertEqual((found.service, found.key), ("hiring", "V17"))

    def test_prefix_is_whole_segments(self):
        """A longer first segment is another service."""
        refusal = classify(b"/hiringx/vacancies/V17").failure()
        self.assertIs(refusal.kind, ErrorKind.NO_SUCH_SERVICE)

    def test_encoded_key_has_one_owner(self):
        """An encoding of a key does not lead to another owner."""
        found = classify(b"/hiring/vacancies/%5617").unwrap()
        self.assertEqual(found.key, "V17")

    def test_dot_segments_are_refused(self):
        """A path that an upstream may shorten is not routed by its long form."""
        for target in (b"/hiring/v/a/../b", b"/hiring/v/%2e%2e/b", b"/hiring/./v/a"):
            with self.subTest(target=target):
                refusal = classify(target).failure()
                self.assertIs(refusal.kind, ErrorKind.MALFORMED_REQUEST)

    def test_missing_or_doubled_key_is_refused(self):
        """A key that stands twice could be read differently upstream."""
        service = dataclasses.replace(HIRING, key=KeySource(kind="query", name="id"))
        configuration = Configuration(services=(service,))
        for target in (b"/hiring/x", b"/hiring/x?id=", b"/hiring/x?id=1&id=2"):
            with self.subTest(target=target):
                refusal = classify(target, configuration=configuration).failure()
                self.assertIs(refusal.kind, ErrorKind.KEY_MISSING)
        found = classify(b"/hiring/x?id=1", configuration=configuration)
        self.assertEqual(found.unwrap().key, "1")

    @given(st.binary(max_size=30))
    def test_any_target_is_classified_or_refused(self, target):
        """No target raises."""
        classify(b"/" + target)


class RuleTests(unittest.TestCase):
    """Rules, partners and deadlines."""

    def test_first_matching_rule_decides(self):
        """Method and path choose repeatability and class."""
        self.assertTrue(classify(b"/hiring/v/a").unwrap().repeatable)
        order = classify(b"/hiring/v/a", method=b"POST").unwrap()
        self.assertFalse(order.repeatable)
        self.assertIs(order.request_class, RequestClass.ORDER)

    def test_request_without_rule_may_not_be_repeated(self):
        """What no rule covers is treated as strictly as possible."""
        self.assertFalse(classify(b"/records/x").unwrap().repeatable)

    def test_only_known_partners_count(self):
        """An unknown name shares the weight of all unknown ones."""
        for name, expected in ((b"caribe", "caribe"), (b"other", "")):
            found = classify(b"/hiring/v/a", headers=((b"x-partner", name),))
            self.assertEqual(found.unwrap().partner, expected)

    def test_deadline_is_capped_by_the_service(self):
        """A caller may ask for less time, not for more."""
        for value, expected_s in ((b"100", 0.1), (b"999999", HIRING.deadline_s)):
            headers = ((b"papayatack-deadline-ms", value),)
            found = classify(b"/hiring/v/a", headers=headers).unwrap()
            self.assertEqual(found.remaining_s, expected_s)
        headers = ((b"papayatack-deadline-ms", b"-5"),)
        refusal = classify(b"/hiring/v/a", headers=headers).failure()
        self.assertIs(refusal.kind, ErrorKind.MALFORMED_REQUEST)


class HeaderTests(unittest.TestCase):
    """Fields that end at this node."""

    def test_hop_by_hop_and_own_fields_are_dropped(self):
        """Also those that the Connection field names, in both directions."""
        headers = (
            (b"connection", b"close, X-Once"),
            (b"x-once", b"1"),
            (b"keep-alive", b"5"),
            (b"papayatack-token", b"9"),
            (b"idempotency-key", b"k"),
            (b"content-length", b"3"),
        )
        kept = ((b"idempotency-key", b"k"), (b"content-length", b"3"))
        self.assertEqual(clean_request_headers(headers), kept)
        self.assertEqual(clean_response_headers(headers), kept)

    def test_body_of_unknown_length_stays_chunked(self):
        """The upstream is told that a body follows."""
        headers = ((b"transfer-encoding", b"chunked"), (b"connection", b"a"))
        expected = ((b"transfer-encoding", b"chunked"),)
        self.assertEqual(clean_request_headers(headers), expected)
