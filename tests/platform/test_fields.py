"""Tests of papayatack.platform.fields."""

import unittest

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import ShardId
from papayatack.core.inventory import RequestClass
from papayatack.core.reported_load import ReportedLoad
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


class ReportedLoadTests(unittest.TestCase):
    """The load that an upstream reports in its responses."""

    def read(self, value):
        """Return the signals of a response with this load."""
        headers = ((b"papayatack-server-load", value),)
        return PlatformDialect().read_signals(headers)

    def test_load_is_read_with_and_without_its_pace(self):
        """The fourth figure is optional; 250 means two and a half times as long."""
        for value, pace in (
            (b"3,1,8", None),
            (b"3,1,8,250", 2.5),
            (b"3, 1, 8, 80", 0.8),
        ):
            signals = self.read(value)
            expected = ReportedLoad(running=3, waiting=1, slots=8, pace=pace)
            self.assertEqual(signals.load, expected)
            self.assertFalse(signals.has_malformed_load)

    def test_malformed_loads_say_nothing(self):
        """Values that cannot be a load are no load, whatever they look like."""
        for value in (
            b"",
            b"3,1",
            b"3,1,8,100,7",
            b"-3,1,8,100",
            b"3,1,8,-100",
            b"3,1,8,nan",
            b"3,1,8,inf",
            b"3,1,8,1e3",
            b"3,1,8,0",
            b"3,1,8,99999",
            b"3,1,8,",
            b"3,1,0,100",
            b"3,1,99999999,100",
            b"x,1,8,100",
            "3,1,٨,100".encode(),
            b"3,1,8," + b"1" * 10_000,
            b"1," * 5_000,
        ):
            signals = self.read(value)
            with self.subTest(value=value[:20]):
                self.assertIsNone(signals.load)
                self.assertTrue(signals.has_malformed_load)

    def test_malformed_load_leaves_the_other_signals(self):
        """The limit and the word of leaving count beside a load that is nonsense."""
        headers = (
            (b"papayatack-server-load", b"nonsense"),
            (b"papayatack-server-limit", b"12.5"),
            (b"papayatack-server-leaving", b"1"),
        )
        signals = PlatformDialect().read_signals(headers)
        self.assertEqual((signals.requests_per_s, signals.is_leaving), (12.5, True))


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
