"""Tests of papayatack.platform.fields."""

import unittest

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import ShardId
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request, Response, find_header
from papayatack.platform.fields import PlatformDialect
from papayatack.proxy.interface import Grant

SIGNATURE = (b"papayatack-response-signature", b"x")


def make_request(**fields):
    """Return a request to forward to the upstream."""
    request = Request(method=b"GET", target=b"/a", headers=((b"host", b"h"),))
    return PeerRequest(
        request=request,
        service="desk",
        shard="",
        key="7",
        remaining_s=1.0,
        partner="",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        repeatable=True,
        request_id="id-1",
        **fields,
    )


class DialectTests(unittest.TestCase):
    """Headers sent to the upstream, and the interpretation of its responses."""

    def setUp(self):
        self.dialect = PlatformDialect()
        self.dialect.upstream_id = "i-1"

    def test_request_has_the_expected_instance_and_the_remaining_time(self):
        """A different upstream process at the address must not execute the request."""
        grant = Grant(shard=ShardId(""), token=1, remaining_s=1.0)
        headers = self.dialect.build_upstream_headers(make_request(), grant, 0.25)
        self.assertEqual(find_header(headers, b"papayatack-expected-instance"), b"i-1")
        self.assertEqual(find_header(headers, b"papayatack-deadline-ms"), b"250")

    def test_response_to_another_request_is_rejected(self):
        """The echoed request id identifies the request."""
        request = make_request()
        for value, expected in ((b"id-1", True), (b"id-0", False)):
            headers = ((b"papayatack-request-id", value),)
            self.assertIs(self.dialect.matches_request(request, headers), expected)
        self.assertTrue(self.dialect.matches_request(request, ()))
        self.assertFalse(self.dialect.matches_request(request, (SIGNATURE,)))

    def test_invalid_responses_are_refused(self):
        """Refusals without execution, and successes that the upstream did not sign."""
        for status, headers, kind in (
            (200, (SIGNATURE,), None),
            (500, (), None),
            (200, (), ErrorKind.RESPONSE_TRUNCATED),
            (
                200,
                (SIGNATURE, (b"content-encoding", b"x")),
                ErrorKind.RESPONSE_TRUNCATED,
            ),
            (503, ((b"papayatack-not-executed", b"1"),), ErrorKind.UPSTREAM_SHED),
            (421, (), ErrorKind.GRANT_REFUSED),
        ):
            with self.subTest(status=status, headers=headers):
                response = Response(status=status, headers=headers)
                self.assertIs(self.dialect.find_refusal(response), kind)

    def test_internal_headers_are_not_forwarded_to_callers(self):
        """Headers for the connection or the node are dropped, the others kept."""
        headers = (
            SIGNATURE,
            (b"connection", b"close"),
            (b"papayatack-server-load", b"1"),
            (b"papayatack-server-limit", b"15.9"),
            (b"papayatack-server-leaving", b"1"),
        )
        self.assertEqual(self.dialect.clean_response(headers), (SIGNATURE,))

    def test_refusal_has_a_retry_after_header(self):
        """The value has fractions of a second; the caller's request id is echoed."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL, retry_after_s=0.125)
        response = self.dialect.build_refusal_response(refusal, "id-1")
        self.assertEqual(find_header(response.headers, b"retry-after"), b"0.125")
        self.assertEqual(
            find_header(response.headers, b"papayatack-request-id"), b"id-1"
        )
