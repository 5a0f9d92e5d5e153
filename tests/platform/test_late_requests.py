"""Tests of requests that arrive while a node is being stopped, up to its end."""

import asyncio
import dataclasses
import itertools
import json
import random
import signal

from tests.platform.documents import build_manifest
from tests.platform.test_process import GRACE_S, LIMIT_S, ProcessTestCase

SEED = 1
INTERVAL_S = 0.01
WORKS_S = (0.1, 1.0, 2.0, 3.0, 4.0)
KEYED_WORKS_S = (0.1, 1.0, 2.0)
"""Shorter than the time left of any grant when the request starts."""

DEADLINES_MS = (1_000, 2_500, 4_000, 5_500, 9_700)
DEADLINE_MARGIN_S = 0.1
REFUSAL_S = 0.2
"""Time within which a request must be refused, or a connection closed under it."""

OWNER_WAIT_S = 2.5
"""Time for which a request may wait for the new owner of its key before."""

SLOTS = 500
OPEN_SHARE = 2
"""One request in so many is sent on a connection that is open since before."""

OTHER_NODES_SHARE = 4
"""One request in so many is sent to another node, which may forward it."""

SLOW_BODY_S = 2.0
SLOW_BODY_BYTES = 200
LONG_RESPONSE_BYTES = 1_000_000
READ_BYTES = 50_000
READ_PAUSE_S = 0.15
SECOND_SIGNAL_S = 1.5


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request and how it ended.

    Attributes:
        request_id: Its id, which tells its kind.
        sent_s: Event loop time of its last byte.
        ended_s: Event loop time of the end of the response or of the connection.
        deadline_s: Seconds for which its caller waits.
        status: Status of a complete response; 0 if there was none.
        signed: Whether the response is an upstream's.
        error: Reason that a response of the node names.
    """

    request_id: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    signed: bool = False
    error: str = ""

    def find_fault(self, *, has_run):
        """Return what is wrong with the end of the request, or an empty text."""
        took_s = self.ended_s - self.sent_s
        if self.signed or took_s >= self.deadline_s - DEADLINE_MARGIN_S:
            return ""
        if has_run:
            return f"{self.status or 'cut'} while at work"
        waited_s = OWNER_WAIT_S if self.error == "no-owner" else 0.0
        if took_s > waited_s + REFUSAL_S:
            return f"{self.status or 'cut'} late"
        return "" if self.status in (0, 503) else f"{self.status} not run"


class LateRequestTests(ProcessTestCase):
    """Requests each 10 ms from the signal until the node has ended."""

    layout = (
        ("east", "desk"),
        ("west", "desk"),
        ("east", "papers"),
        ("west", "papers"),
    )

    async def begin(self):
        """Publish routes, wait until all is served, and have each route measured."""
        document = json.loads(build_manifest())
        routes = {}
        for service, works_s in (("desk", KEYED_WORKS_S), ("papers", WORKS_S)):
            document["Services"][service]["MaxConnections"] = 2 * SLOTS
            for work_s, kind in itertools.product(
                works_s, ("idempotent", "non_idempotent")
            ):
                routes[f"{service}-{work_s}-{kind}"] = {
                    "Host": "shop.example",
                    "PathPrefix": f"/{service}/{work_s}/{kind}/",
                    "RouteKind": kind,
                    "Timeout": "9700ms",
                    "TargetLatency": "9700ms",
                    "Priority": 1,
                    "Service": service,
                    "MaxAttempts": 2,
                }
        self.kinds = tuple(routes)
        document["Routes"] |= routes
        self.store.store.append("keyed.op", b"config", json.dumps(document).encode())
        for machine in self.machines:
            machine.upstream.slots = SLOTS
        await self.wait_for(self.is_served)
        for machine in self.machines:
            machine.upstream.work_s = 0.0
        self.numbers = itertools.count()
        warm = [
            self.send(machine, kind, deadline_ms=9_700)
            for machine in self.machines
            for kind in self.kinds * 4
        ]
        self.assertTrue(all(sent.signed for sent in await asyncio.gather(*warm)))

    async def send(
        self,
        machine,
        kind,
        *,
        deadline_ms,
        connection=None,
        body_s=0.0,
        size=0,
    ):
        """Send a request; return it with its end.

        Args:
            machine: The machine of the node that gets the request.
            kind: Name of the route.
            deadline_ms: The caller's deadline.
            connection: An open connection; a new one if it is ``None``.
            body_s: Time that the caller takes to send a body; 0 for no body.
            size: Length of the response, which is then read slowly.
        """
        loop = asyncio.get_running_loop()
        number = next(self.numbers)
        service, work_s, route_kind = kind.split("-")
        sent = Sent(
            request_id=f"{number}-{kind}",
            sent_s=loop.time(),
            deadline_s=deadline_ms / 1000,
        )
        query = f"work={work_s}" + (f"&size={size}" if size else "")
        fields = [
            f"Papayatack-Request-Id: {sent.request_id}",
            f"Papayatack-Deadline-Ms: {deadline_ms}",
        ]
        if service == "desk":
            fields.append(f"Papayatack-Shard-Key: {number * 4_001 % 65_536}")
        if body_s:
            fields.append(f"Content-Length: {SLOW_BODY_BYTES}")
        path = f"/{service}/{work_s}/{route_kind}/?{query}"
        lines = (f"GET {path} HTTP/1.1", "Host: shop.example", *fields)
        try:
            async with asyncio.timeout(LIMIT_S):
                reader, writer = connection or await asyncio.open_connection(
                    "127.0.0.1", machine.ports["callers"], limit=READ_BYTES
                )
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                for _ in range(SLOW_BODY_BYTES if body_s else 0):
                    await asyncio.sleep(body_s / SLOW_BODY_BYTES)
                    writer.write(b".")
                if body_s:
                    sent.sent_s = loop.time()
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                left = int(head.partition("content-length:")[2].split("\r\n")[0])
                while left:
                    left -= len(await reader.readexactly(min(left, READ_BYTES)))
                    await asyncio.sleep(READ_PAUSE_S if size else 0.0)
                sent.status = int(head.split()[1])
                sent.signed = "papayatack-response-signature:" in head
                sent.error = head.partition("papayatack-error: ")[2].split("\r\n")[0]
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        sent.ended_s = loop.time()
        return sent

    async def stop_under_requests(self, stopped):
        """Stop a node while requests arrive.

        Returns:
            The tasks that send them, and the event loop time of the signal.
        """
        loop = asyncio.get_running_loop()
        rng = random.Random(SEED)
        count = int(GRACE_S / INTERVAL_S)
        connections = [
            await asyncio.open_connection("127.0.0.1", stopped.ports["callers"])
            for _ in range(count // OPEN_SHARE)
        ]
        others = itertools.cycle(
            machine
            for machine in self.machines
            if machine is not stopped and machine.process.returncode is None
        )
        stopped.process.send_signal(signal.SIGTERM)
        began_s = loop.time()
        tasks = [
            asyncio.ensure_future(self._send_slow(stopped, began_s, after_s))
            for after_s in (0.5, 1.0, 2.0)
        ]
        tasks.append(asyncio.ensure_future(self._read_slowly(stopped)))
        loop.call_at(
            began_s + SECOND_SIGNAL_S, stopped.process.send_signal, signal.SIGTERM
        )
        for number in range(count):
            await asyncio.sleep(began_s + number * INTERVAL_S - loop.time())
            if stopped.process.returncode is not None:
                break
            deadline_ms, kind = rng.choice(DEADLINES_MS), rng.choice(self.kinds)
            machine, connection = stopped, None
            if number % OTHER_NODES_SHARE == 0:
                machine = next(others)
            elif number % OPEN_SHARE:
                connection = connections.pop()
            sending = self.send(
                machine, kind, deadline_ms=deadline_ms, connection=connection
            )
            tasks.append(asyncio.ensure_future(sending))
        async with asyncio.timeout_at(began_s + GRACE_S):
            self.assertEqual(await stopped.process.wait(), 0)
        return tasks, began_s

    async def _send_slow(self, machine, began_s, after_s):
        await asyncio.sleep(began_s + after_s - asyncio.get_running_loop().time())
        return await self.send(
            machine, "papers-0.1-non_idempotent", deadline_ms=9_700, body_s=SLOW_BODY_S
        )

    async def _read_slowly(self, machine):
        return await self.send(
            machine,
            "papers-0.1-idempotent",
            deadline_ms=9_700,
            size=LONG_RESPONSE_BYTES,
        )

    async def list_faults(self, tasks, began_s):
        """Return the requests that were cut or answered falsely."""
        requests = await asyncio.gather(*tasks)
        run = set().union(*(machine.upstream.runs for machine in self.machines))
        return [
            f"{fault}: {item.request_id}, {item.error or 'no error'}, "
            f"sent at {item.sent_s - began_s:.2f} s, "
            f"ended at {item.ended_s - began_s:.2f} s, deadline {item.deadline_s} s"
            for item in requests
            if (fault := item.find_fault(has_run=item.request_id in run))
        ]

    async def test_late_requests_are_ended_or_refused_at_once(self):
        """None is cut, or answered by the node while an upstream works on it.

        First a node is stopped whose upstream has keys, then one without.
        """
        await self.begin()
        keyed = await self.stop_under_requests(self.machines[0])
        keyless = await self.stop_under_requests(self.machines[2])
        faults = [*await self.list_faults(*keyed), *await self.list_faults(*keyless)]
        self.assertEqual(len(faults), 0, "\n".join(faults))
