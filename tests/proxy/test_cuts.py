"""Connections are cut at every byte, and responses are compared with the counted runs.

Guards against responses that contradict what ran: a request that is reported as not run
but ran, one that ran twice although it is not repeatable, and a truncated response that
looks complete.
"""

import asyncio
import collections
import dataclasses
import itertools
import unittest

import h11
from hypothesis import Phase, given, settings, strategies as st

from papayatack.core.identity import PeerAddress
from standins.upstream import UpstreamStandin
from tests.network.relay import CutMode, CuttingRelay, Direction
from tests.proxy.fakes import Node, build_request, wait_until

PATHS = ("caller", "peer", "upstream")
BODY = b"b" * 40
RESPONSE_BYTES = 60
UNREPEATABLE = ("POST",)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """One failure of a path."""

    path: str
    direction: Direction
    after_bytes: int
    mode: CutMode


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerResult:
    """What a caller received: status and body only of a complete response."""

    complete: bool
    status: int = 0
    outcome: str = ""
    request_id: str = ""
    body_bytes: int = 0


def parse_response(data):
    """Parse the bytes that a caller received."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    client.send(h11.EndOfMessage())
    head, size = None, 0
    try:
        client.receive_data(data)
        while True:
            event = client.next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return CallerResult(complete=False)
    except h11.RemoteProtocolError:
        return CallerResult(complete=False)
    fields = {name.decode(): value.decode() for name, value in head.headers}
    return CallerResult(
        complete=True,
        status=head.status_code,
        outcome=fields["papayatack-outcome"],
        request_id=fields.get("papayatack-request-id", ""),
        body_bytes=size,
    )


class Nodes:
    """Entry node, owner and upstream, with a relay on each path."""

    async def start(self):
        """Start the nodes and the upstream and connect them through the relays."""
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        self.owner = await Node(name="owner").start()
        self.entry = await Node(name="entry").start()
        ports = {
            "caller": self.entry.callers.port,
            "peer": self.owner.network.port,
            "upstream": self.upstream.port,
        }
        self.relays = {
            path: await CuttingRelay(target_port=port).start()
            for path, port in ports.items()
        }
        self.owner.use_upstream(self.relays["upstream"].port)
        self.owner.ownership.route = self.owner.build_route(local=True)
        address = PeerAddress(f"127.0.0.1:{self.relays['peer'].port}")
        self.entry.ownership.route = self.owner.build_route(
            local=False, address=address
        )
        await self.owner.grant()
        self.results = []
        return self

    async def stop(self):
        """Stop the relays, the nodes and the upstream."""
        for relay in self.relays.values():
            relay.stop()
        await self.entry.stop()
        await self.owner.stop()
        await self.upstream.stop(timeout_s=0)

    async def send(self, method, cut, *, target="/hiring/v/k1", headers=()):
        """Send one request while a path is cut, and return what the caller received."""
        if cut is not None:
            relay = self.relays[cut.path]
            relay.arm(cut.direction, cut.after_bytes, cut.mode)
        body = BODY if method != "GET" else b""
        data = build_request(method, target, body=body, headers=headers)
        result = parse_response(await self._exchange(data))
        for relay in self.relays.values():
            relay.disarm()
        await wait_until(self._is_idle)
        self.results.append((method, result))
        return result

    async def _exchange(self, data):
        received = b""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.relays["caller"].port
        )
        try:
            async with asyncio.timeout(2):
                writer.write(data)
                while chunk := await reader.read(65536):
                    received += chunk
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()
        return received

    def _is_idle(self):
        return (
            not self.upstream._busy
            and not self.owner.network.serving.tasks
            and not self.entry.callers._connections
        )

    async def measure(self, method, target):
        """Return the number of bytes that pass in each direction of each path."""
        for relay in self.relays.values():
            relay.arm(Direction.UP, 1 << 40, CutMode.RESET)
        data = build_request(method, target, body=BODY)
        await self._exchange(data)
        sizes = {path: dict(relay.passed) for path, relay in self.relays.items()}
        for relay in self.relays.values():
            relay.disarm()
        return sizes

    def check(self, case, method, expected_bytes):
        """Compare every response with the runs that the upstream counted."""
        runs = collections.Counter(self.upstream.runs)
        for sent, result in self.results:
            if not result.complete:
                continue
            count = runs[result.request_id]
            if result.outcome == "not-run":
                case.assertEqual(count, 0, result)
            if result.status == 200:
                case.assertEqual(result.outcome, "answered", result)
                case.assertGreaterEqual(count, 1, result)
                case.assertEqual(result.body_bytes, expected_bytes, result)
            else:
                case.assertNotEqual(result.outcome, "answered", result)
            case.assertEqual(sent, method)
        if method in UNREPEATABLE:
            case.assertLessEqual(max(runs.values(), default=0), 1)


class EveryByteTests(unittest.TestCase):
    """A small order; each path is reset at each byte, and refuses the connection."""

    def test_unrepeatable_request(self):
        """It runs at most once, and its outcome and body length are always correct."""
        outcomes = asyncio.run(self._cut_everywhere("POST"))
        self.assertEqual({"answered", "not-run", "unknown", ""}, set(outcomes))

    async def _cut_everywhere(self, method):
        nodes = await Nodes().start()
        target = f"/hiring/v/k1?bytes={RESPONSE_BYTES}"
        await nodes.send(method, None, target=target)
        sizes = await nodes.measure(method, target)
        for path, direction in itertools.product(PATHS, Direction):
            for after in range(sizes[path][direction]):
                cut = Cut(
                    path=path,
                    direction=direction,
                    after_bytes=after,
                    mode=CutMode.RESET,
                )
                await nodes.send(method, cut, target=target)
        for path in ("peer", "upstream"):
            await nodes.relays[path].refuse()
            await nodes.send(method, None, target=target)
            await nodes.relays[path].accept()
        await nodes.stop()
        nodes.check(self, method, RESPONSE_BYTES)
        return collections.Counter(result.outcome for _, result in nodes.results)


CUTS = st.builds(
    Cut,
    path=st.sampled_from(PATHS),
    direction=st.sampled_from(Direction),
    after_bytes=st.integers(0, 700),
    mode=st.sampled_from(CutMode),
)


class AnyCutTests(unittest.TestCase):
    """Random methods, responses and failures."""

    @settings(max_examples=60, phases=(Phase.generate,))
    @given(
        st.sampled_from(("GET", "PUT", "POST")),
        st.lists(CUTS, min_size=1, max_size=4),
        st.sampled_from((0, 300, 100_000)),
        st.booleans(),
    )
    def test_responses_agree_with_the_runs(self, method, cuts, size, chunked):
        """No response contradicts the runs that the upstream counted."""
        asyncio.run(self._run(method, cuts, size, chunked))

    async def _run(self, method, cuts, size, chunked):
        nodes = await Nodes().start()
        target = f"/hiring/v/k1?bytes={size}" + ("&chunked=1" if chunked else "")
        headers = ("Papayatack-Deadline-Ms: 40",)
        for cut in cuts:
            scaled = dataclasses.replace(
                cut, after_bytes=cut.after_bytes * (1 + size // 700)
            )
            await nodes.send(method, scaled, target=target, headers=headers)
        await nodes.stop()
        nodes.check(self, method, size)
