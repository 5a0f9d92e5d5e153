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
    """Return the result of classifying one request."""
    request = Request(method=method, target=target, headers=headers)
    return Classifier(configuration=configuration).classify(request)


class KeyTests(unittest.TestCase):
    """Selection of the service and extraction of the key."""

    def test_key_is_read_from_the_path(self):
        """The key is the path segment with the configured index after the prefix."""
        peer_request = classify(b"/hiring/vacancies/V17/apply?x=1").unwrap()
        self.assertEqual((peer_request.service, peer_request.key), ("hiring", "V17"))

    def test_prefix_matches_whole_segments_only(self):
        """A longer first segment that starts with the prefix does not match."""
        refusal = classify(b"/hiringx/vacancies/V17").failure()
        self.assertIs(refusal.kind, ErrorKind.NO_SUCH_SERVICE)

    def test_percent_encoded_key_is_decoded(self):
        """Percent-encoding a key must not lead to another owner."""
        peer_request = classify(b"/hiring/vacancies/%5617").unwrap()
        self.assertEqual(peer_request.key, "V17")

    def test_dot_segments_are_refused(self):
        """An upstream may normalise such a path and so read another key from it."""
        for target in (b"/hiring/v/a/../b", b"/hiring/v/%2e%2e/b", b"/hiring/./v/a"):
            with self.subTest(target=target):
                refusal = classify(target).failure()
                self.assertIs(refusal.kind, ErrorKind.MALFORMED_REQUEST)

    def test_missing_or_repeated_key_is_refused(self):
        """Of several keys, the upstream could read another one than the node."""
        service = dataclasses.replace(HIRING, key=KeySource(kind="query", name="id"))
        configuration = Configuration(services=(service,))
        for target in (b"/hiring/x", b"/hiring/x?id=", b"/hiring/x?id=1&id=2"):
            with self.subTest(target=target):
                refusal = classify(target, configuration=configuration).failure()
                self.assertIs(refusal.kind, ErrorKind.KEY_MISSING)
        result = classify(b"/hiring/x?id=1", configuration=configuration)
        self.assertEqual(result.unwrap().key, "1")

    @given(st.binary(max_size=30))
    def test_any_target_is_classified_or_refused(self, target):
        """Classification raises no exception for any target."""
        classify(b"/" + target)


class RuleTests(unittest.TestCase):
    """Request rules, partners and deadlines."""

    def test_first_matching_rule_is_applied(self):
        """The method and path determine repeatability and request class."""
        self.assertTrue(classify(b"/hiring/v/a").unwrap().repeatable)
        order = classify(b"/hiring/v/a", method=b"POST").unwrap()
        self.assertFalse(order.repeatable)
        self.assertIs(order.request_class, RequestClass.ORDER)

    def test_request_without_matching_rule_is_not_repeatable(self):
        """The default rule is the strictest one."""
        self.assertFalse(classify(b"/records/x").unwrap().repeatable)

    def test_repeatability_is_told_without_the_rest(self):
        """As the whole classification says; what is refused is not repeatable."""
        classifier = Classifier(configuration=CONFIGURATION)
        cases = (
            (b"GET", b"/hiring/v/a", True),
            (b"POST", b"/hiring/v/a", False),
            (b"GET", b"/records/x", False),
            (b"GET", b"/nowhere", False),
            (b"GET", b"/hiring/../x", False),
        )
        for method, target, expected in cases:
            with self.subTest(method=method, target=target):
                request = Request(method=method, target=target)
                self.assertIs(classifier.is_repeatable(request), expected)

    def test_unknown_partner_is_classified_as_no_partner(self):
        """All unknown partners share the weight of one."""
        for name, expected in ((b"caribe", "caribe"), (b"other", "")):
            result = classify(b"/hiring/v/a", headers=((b"x-partner", name),))
            self.assertEqual(result.unwrap().partner, expected)

    def test_deadline_is_capped_by_the_service(self):
        """A caller may shorten the deadline but not extend it."""
        for value, expected_s in ((b"100", 0.1), (b"999999", HIRING.deadline_s)):
            headers = ((b"papayatack-deadline-ms", value),)
            peer_request = classify(b"/hiring/v/a", headers=headers).unwrap()
            self.assertEqual(peer_request.remaining_s, expected_s)
        headers = ((b"papayatack-deadline-ms", b"-5"),)
        refusal = classify(b"/hiring/v/a", headers=headers).failure()
        self.assertIs(refusal.kind, ErrorKind.MALFORMED_REQUEST)


class HeaderTests(unittest.TestCase):
    """Removal of header fields that the node does not forward."""

    def test_hop_by_hop_and_reserved_fields_are_dropped(self):
        """So are the fields listed in the Connection header, in both directions."""
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

    def test_transfer_encoding_of_chunked_body_is_kept(self):
        """Without the field, the upstream would not expect a body."""
        headers = ((b"transfer-encoding", b"chunked"), (b"connection", b"a"))
        expected = ((b"transfer-encoding", b"chunked"),)
        self.assertEqual(clean_request_headers(headers), expected)
