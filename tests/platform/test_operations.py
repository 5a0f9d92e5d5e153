"""Tests that log lines show the cause of a failed request (docs/OPERATIONS.md)."""

from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase


class CauseTests(ProcessTestCase):
    """Three kinds of failure, each traced by the caller's request id."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.store.append("keyed.op", b"config", build_manifest())

    def find_lines(self, request_id):
        """Return the log lines of all nodes about a request."""
        return [
            line
            for machine in self.machines
            for line in machine.read_lines()
            if line.get("request") == request_id
        ]

    async def test_no_route(self):
        """The log line has the version of the configuration without the route."""
        await self.wait_for(self.is_served)
        first = self.machines[0]
        status, _, _ = await first.ask("/x", request_id="lost-1", host="no.example")
        self.assertEqual(status, 404)
        (line,) = self.find_lines("lost-1")
        self.assertEqual((line["reason"], line["config"]), ("no-such-service", 12))

    async def test_nobody_serves_the_key(self):
        """The outcome is not-run, and the owner logs that its grant was refused."""
        for machine in self.machines:
            machine.upstream.refuse_grants = True
        first = self.machines[0]

        async def is_refused_without_an_owner():
            await first.ask("/orders/1", key=7, request_id="lost-2")
            reasons = {line.get("reason") for line in self.find_lines("lost-2")}
            return "no-owner" in reasons and self.count("GRANT_REFUSED")

        await self.wait_for(is_refused_without_an_owner)
        lines = self.find_lines("lost-2")
        self.assertEqual({line["outcome"] for line in lines}, {"not-run"}, lines)

    def count(self, message):
        """Return the number of log lines of all nodes with an event name."""
        return sum(
            line["message"] == message
            for machine in self.machines
            for line in machine.read_lines()
        )

    async def test_upstream_does_not_respond(self):
        """The outcome is unknown, and the reason is the upstream's time-out."""
        await self.wait_for(self.is_served)
        for machine in self.machines:
            machine.upstream.hangs = True
        first = self.machines[0]
        status, _, _ = await first.ask("/orders/1", key=7, request_id="lost-3")
        self.assertEqual(status, 504)
        lines = self.find_lines("lost-3")
        self.assertIn(
            ("upstream-timeout", "unknown"),
            {(line["reason"], line.get("outcome")) for line in lines},
        )
