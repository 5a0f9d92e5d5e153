"""Every path is cut at every byte; answers are held against the runs counted."""

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
ANSWER_BYTES = 60
UNREPEATABLE = ("POST",)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """One way for a path to fail."""

    path: str
    direction: Direction
    after_bytes: int
    mode: CutMode


@dataclasses.dataclass(frozen=True, kw_only=True)
class Seen:
    """What a caller saw: a status and body only if the answer was whole."""

    whole: bool
    status: int = 0
    outcome: str = ""
    request_id: str = ""
    body_bytes: int = 0


def read_answer(data):
    """Parse what a caller received."""
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
                return Seen(whole=False)
    except h11.RemoteProtocolError:
        return Seen(whole=False)
    fields = {name.decode(): value.decode() for name, value in head.headers}
    return Seen(
        whole=True,
        status=head.status_code,
        outcome=fields["papayatack-outcome"],
        request_id=fields.get("papayatack-request-id", ""),
        body_bytes=size,
    )


class Fleet:
    """Caller, entry node, owner and upstream, with a relay on each path."""

    async def start(self):
        """Start all and connect them through the relays."""
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
        self.seen = []
        return self

    async def stop(self):
        """Stop all."""
        for relay in self.relays.values():
            relay.stop()
        await self.entry.stop()
        await self.owner.stop()
        await self.upstream.stop(timeout_s=0)

    async def send(self, method, cut, *, target="/hiring/v/k1", headers=()):
        """Send one request while a path is cut, and return what the caller saw."""
        if cut is not None:
            relay = self.relays[cut.path]
            relay.arm(cut.direction, cut.after_bytes, cut.mode)
        body = BODY if method != "GET" else b""
        data = build_request(method, target, body=body, headers=headers)
        seen = read_answer(await self._exchange(data))
        for relay in self.relays.values():
            relay.disarm()
        await wait_until(self._is_quiet)
        self.seen.append((method, seen))
        return seen

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

    def _is_quiet(self):
        return (
            not self.upstream._busy
            and not self.owner.network._serving
            and not self.entry.callers._connections
        )

    async def measure(self, method, target):
        """Return the bytes that pass on each path and direction."""
        for relay in self.relays.values():
            relay.arm(Direction.UP, 1 << 40, CutMode.RESET)
        data = build_request(method, target, body=BODY)
        await self._exchange(data)
        sizes = {path: dict(relay.passed) for path, relay in self.relays.items()}
        for relay in self.relays.values():
            relay.disarm()
        return sizes

    def check(self, case, method, expected_bytes):
        """Hold every answer against the runs that the upstream counted."""
        runs = collections.Counter(self.upstream.runs)
        for sent, seen in self.seen:
            if not seen.whole:
                continue
            count = runs[seen.request_id]
            if seen.outcome == "not-run":
                case.assertEqual(count, 0, seen)
            if seen.status == 200:
                case.assertEqual(seen.outcome, "answered", seen)
                case.assertGreaterEqual(count, 1, seen)
                case.assertEqual(seen.body_bytes, expected_bytes, seen)
            else:
                case.assertNotEqual(seen.outcome, "answered", seen)
            case.assertEqual(sent, method)
        if method in UNREPEATABLE:
            case.assertLessEqual(max(runs.values(), default=0), 1)


class EveryByteTests(unittest.TestCase):
    """A small order, each path reset after each byte of it, and before the first."""

    def test_unrepeatable_request(self):
        """It runs at most once, and not-run and short bodies never lie."""
        outcomes = asyncio.run(self._cut_everywhere("POST"))
        self.assertEqual({"answered", "not-run", "unknown", ""}, set(outcomes))

    async def _cut_everywhere(self, method):
        fleet = await Fleet().start()
        target = f"/hiring/v/k1?bytes={ANSWER_BYTES}"
        await fleet.send(method, None, target=target)
        sizes = await fleet.measure(method, target)
        for path, direction in itertools.product(PATHS, Direction):
            for after in range(sizes[path][direction]):
                cut = Cut(
                    path=path,
                    direction=direction,
                    after_bytes=after,
                    mode=CutMode.RESET,
                )
                await fleet.send(method, cut, target=target)
        for path in ("peer", "upstream"):
            await fleet.relays[path].refuse()
            await fleet.send(method, None, target=target)
            await fleet.relays[path].accept()
        await fleet.stop()
        fleet.check(self, method, ANSWER_BYTES)
        return collections.Counter(seen.outcome for _, seen in fleet.seen)


CUTS = st.builds(
    Cut,
    path=st.sampled_from(PATHS),
    direction=st.sampled_from(Direction),
    after_bytes=st.integers(0, 700),
    mode=st.sampled_from(CutMode),
)


class AnyCutTests(unittest.TestCase):
    """Any method, answer and way of failing."""

    @settings(max_examples=60, phases=(Phase.generate,))
    @given(
        st.sampled_from(("GET", "PUT", "POST")),
        st.lists(CUTS, min_size=1, max_size=4),
        st.sampled_from((0, 300, 100_000)),
        st.booleans(),
    )
    def test_answers_agree_with_the_runs(self, method, cuts, size, chunked):
        """No answer contradicts what the upstream counted."""
        asyncio.run(self._run(method, cuts, size, chunked))

    async def _run(self, method, cuts, size, chunked):
        fleet = await Fleet().start()
        target = f"/hiring/v/k1?bytes={size}" + ("&chunked=1" if chunked else "")
        headers = ("Papayatack-Deadline-Ms: 40",)
        for cut in cuts:
            scaled = dataclasses.replace(
                cut, after_bytes=cut.after_bytes * (1 + size // 700)
            )
            await fleet.send(method, scaled, target=target, headers=headers)
        await fleet.stop()
        fleet.check(self, method, size)
