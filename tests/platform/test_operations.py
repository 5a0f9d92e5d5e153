"""The cause of a failed request, found from the lines alone (docs/OPERATIONS.md)."""

from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase


class CauseTests(ProcessTestCase):
    """Three kinds of failure, each from the caller's id to the cause."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.store.append("keyed.op", b"config", build_manifest())

    def find_lines(self, request_id):
        """Return the lines of all nodes about a request."""
        return [
            line
            for machine in self.machines
            for line in machine.read_lines()
            if line.get("request") == request_id
        ]

    async def test_no_route(self):
        """The line names the configuration by which there is no route."""
        await self.wait_for(self.is_served)
        first = self.machines[0]
        status, _, _ = await first.ask("/x", request_id="lost-1", host="no.example")
        self.assertEqual(status, 404)
        (line,) = self.find_lines("lost-1")
        self.assertEqual((line["reason"], line["config"]), ("no-such-service", 12))

    async def test_nobody_serves_the_key(self):
        """The refusal says not run; the owner's lines say that its grant is refused."""
        for machine in self.machines:
            machine.upstream.refuse_grants = True
        first = self.machines[0]

        async def is_refused_for_its_owner():
            await first.ask("/orders/1", key=7, request_id="lost-2")
            reasons = {line.get("reason") for line in self.find_lines("lost-2")}
            return "no-owner" in reasons and self.count("GRANT_REFUSED")

        await self.wait_for(is_refused_for_its_owner)
        lines = self.find_lines("lost-2")
        self.assertEqual({line["outcome"] for line in lines}, {"not-run"}, lines)

    def count(self, message):
        """Return how many lines of all nodes have a name."""
        return sum(
            line["message"] == message
            for machine in self.machines
            for line in machine.read_lines()
        )

    async def test_the_upstream_does_not_answer(self):
        """The outcome is unknown; the reason is the upstream's silence."""
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
