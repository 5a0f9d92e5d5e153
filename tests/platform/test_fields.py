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
    """Return a request on its way to the upstream."""
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
    """What the upstream is told, and what its answers mean."""

    def setUp(self):
        self.dialect = PlatformDialect()
        self.dialect.upstream_id = "i-1"

    def test_request_names_the_life_and_the_time_left(self):
        """So that another upstream at the address does not run it."""
        grant = Grant(shard=ShardId(""), token=1, remaining_s=1.0)
        headers = self.dialect.build_upstream_headers(make_request(), grant, 0.25)
        self.assertEqual(find_header(headers, b"papayatack-expected-instance"), b"i-1")
        self.assertEqual(find_header(headers, b"papayatack-deadline-ms"), b"250")

    def test_answer_to_another_request(self):
        """The id that is echoed tells."""
        request = make_request()
        for value, expected in ((b"id-1", True), (b"id-0", False)):
            headers = ((b"papayatack-request-id", value),)
            self.assertIs(self.dialect.matches_request(request, headers), expected)
        self.assertTrue(self.dialect.matches_request(request, ()))
        self.assertFalse(self.dialect.matches_request(request, (SIGNATURE,)))

    def test_what_is_no_answer(self):
        """Refusals that were not run, and successes that are not the upstream's."""
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

    def test_callers_get_the_answer_as_it_is(self):
        """Without what concerns the connection or the router alone."""
        headers = (
            SIGNATURE,
            (b"connection", b"close"),
            (b"papayatack-server-load", b"1"),
        )
        self.assertEqual(self.dialect.clean_response(headers), (SIGNATURE,))

    def test_refusal_says_when_to_come_back(self):
        """In fractions of a second, with the caller's id."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL, retry_after_s=0.125)
        response = self.dialect.build_refusal_response(refusal, "id-1")
        self.assertEqual(find_header(response.headers, b"retry-after"), b"0.125")
        self.assertEqual(
            find_header(response.headers, b"papayatack-request-id"), b"id-1"
        )
