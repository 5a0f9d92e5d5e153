"""Tests of papayatack.proxy.decisions."""

import unittest

from papayatack.core.config_age import ConfigAge
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request
from papayatack.proxy import decisions


def build_request(**fields):
    """Build a request of a caller."""
    return PeerRequest(
        request=Request(method=b"GET", target=b"/a/"),
        service="desk",
        shard="",
        key="",
        remaining_s=2.0,
        partner="",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        repeatable=True,
        request_id="r-1",
        **fields,
    )


class RefusalLineTests(unittest.TestCase):
    """The line of a refusal tells which requests wait for how long."""

    def log_refusal(self, request):
        """Log a refusal and return the fields of its line."""
        refusal = Refusal(kind=ErrorKind.DEADLINE_UNREACHABLE)
        with self.assertLogs(decisions.LOGGER) as logs:
            decisions.RequestLog().log_refusal(
                request, refusal, elapsed_s=0.1, version=3
            )
        return logs.records[0].__dict__

    def test_line_has_route_deadline_and_target(self):
        fields = self.log_refusal(build_request(route="r-desk", target_s=0.3))
        self.assertEqual(fields["route"], "r-desk")
        self.assertEqual((fields["remaining_ms"], fields["target_ms"]), (2000, 300))

    def test_line_has_rank(self):
        self.assertEqual(self.log_refusal(build_request(rank=2))["rank"], 2)
        self.assertIsNone(self.log_refusal(None)["rank"])

    def test_request_without_target_or_route(self):
        fields = self.log_refusal(build_request())
        self.assertEqual((fields["route"], fields["target_ms"]), ("", None))

    def test_line_has_the_age_of_the_configuration(self):
        """So that a refusal by an old configuration can be told from a right one."""
        age = ConfigAge(age_s=2.5, is_superseded=True)
        log = decisions.RequestLog(read_config_age=lambda: age)
        refusal = Refusal(kind=ErrorKind.NO_SUCH_SERVICE)
        with self.assertLogs(decisions.LOGGER) as logs:
            log.log_refusal(None, refusal, elapsed_s=0.0, version=3)
        fields = logs.records[0].__dict__
        self.assertEqual(fields["config_age_ms"], 2500)
        self.assertTrue(fields["config_superseded"])

    def test_unknown_age_is_empty(self):
        fields = self.log_refusal(None)
        self.assertIsNone(fields["config_age_ms"])

    def test_request_that_could_not_be_classified(self):
        fields = self.log_refusal(None)
        self.assertEqual((fields["route"], fields["remaining_ms"]), ("", None))
