"""Stand-ins, clients and node processes for the scripts of the review.

The nodes are real processes, started with the command of the deploy file. The store,
the instances and the consumers live in the process of the script. They do what the
users' pages say and, where the pages are silent, what a sound one would do.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import math
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
STORE_HOST = "127.0.0.1"
APP_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8145, 8147, 8141, 8144
PEERS_PORT, OPERATORS_PORT = 7380, 7395
HEARTBEAT_S = 0.87
QUEUE = 52
DRAIN_S = 2.0
STABLE_S = 3.0
LISTENING_S = 20.0
LIMIT_S = 110.0
"""Time after which a case counts as one that could not run."""

KEYS = 65_536
MAX_HOLD_S = 10.0
ZONES = ("bq-norte", "bq-centro", "bq-puerto")
BOUNDS = {
    "Drain": "2000ms",
    "Grace": "6s",
    "RetryBudgetRatio": "0.2",
    "BudgetWindow": "10s",
    "BudgetExtraRetries": "64",
    "MaxHold": "10000ms",
}
OFFSETS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
KNOWN_IDS = itertools.count(1)


def now() -> float:
    """Return the steady clock, in seconds."""
    return time.monotonic()


def split_address(address: str) -> tuple[str, int]:
    """Return the parts of ``<ip>:<port>``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_free(ip: str) -> bool:
    """Tell whether nothing listens at the ports of a machine."""
    ports = (APP_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT)
    for port in (*ports, PEERS_PORT, OPERATORS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response: first line, fields in lower case, and body."""

    first: list[str]
    fields: dict[str, str]
    body: bytes = b""
    whole: bool = True


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and fields; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def read_body(reader: asyncio.StreamReader, message: Message, *, reply=False):
    """Read the body of a message; a body that ends early is not whole."""
    fields = message.fields
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(data[:-2])
            message.body = b"".join(parts)
        elif "content-length" in fields:
            message.body = await reader.readexactly(int(fields["content-length"]))
        elif reply:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.whole = False


def build_reply(status: int, body: bytes = b"", fields: dict | None = None) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in (fields or {}).items())
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.begun = now()
        self._file = path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{now() - self.begun:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[bytes, bytes]]] = collections.defaultdict(
            list
        )
        self.grown = asyncio.Condition()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, STORE_HOST, 0)
        self.address = f"{STORE_HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def put(self, topic: str, key: bytes, value: bytes) -> None:
        """Append a record of the operator."""
        async with self.grown:
            self.records[topic].append((key, value))
            self.grown.notify_all()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while (call := await read_head(reader)) is not None:
                await read_body(reader, call)
                writer.write(await self.answer(call))
                await writer.drain()
        writer.close()

    async def answer(self, call: Message) -> bytes:
        """Return the response to a call."""
        url = urllib.parse.urlsplit(call.first[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        match url.path:
            case "/log-append":
                return await self._append(query, call.body)
            case "/log-read":
                return await self._read(query)
            case "/log-newest":
                return self._list_newest(query)
        return build_reply(404)

    async def _append(self, query: dict, body: bytes) -> bytes:
        async with self.grown:
            records = self.records[query["Topic"]]
            if "At" in query and int(query["At"]) != len(records):
                data = json.dumps({"EndOffset": len(records)}).encode()
                return build_reply(412, data)
            first, place = len(records), 0
            while place < len(body):
                (size,) = LENGTH.unpack_from(body, place)
                content = body[place + 4 : place + 4 + size]
                place += 4 + size
                end = 1 + content[0]
                records.append((content[1:end], content[end:]))
            self.grown.notify_all()
            found = {"Offset": first, "EndOffset": len(records)}
            return build_reply(200, json.dumps(found).encode())

    async def _read(self, query: dict) -> bytes:
        start, records = int(query["From"]), self.records[query["Topic"]]
        wait_s = int(query.get("WaitMs", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.grown:
                await self.grown.wait_for(lambda: len(records) > start)
        parts = [OFFSETS.pack(len(records), 0)]
        size = 0
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + value
            size += len(content)
            if size > 1024 * int(query.get("MaxKb", 1024)) and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(content)) + content)
        return build_reply(200, b"".join(parts))

    def _list_newest(self, query: dict) -> bytes:
        newest: dict[bytes, tuple[bytes, int]] = {}
        records = self.records[query["Topic"]]
        for offset, (key, value) in enumerate(records):
            newest[key] = value, offset
        after = query.get("after", "").encode()
        left = sorted(key for key, item in newest.items() if key > after and item[0])
        items = [
            {
                "Key": key.decode(),
                "Value": base64.b64encode(newest[key][0]).decode(),
                "Offset": newest[key][1],
            }
            for key in left[:500]
        ]
        found = {
            "items": items,
            "HasMore": len(left) > 500,
            "EndOffset": len(records),
        }
        return build_reply(200, json.dumps(found).encode())


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an instance began to work on."""

    request_id: str
    instance: str
    at_s: float
    body: bytes
    ended: str = "at work"


class Instance:
    """One lifetime of an instance at an address."""

    def __init__(
        self, fleet, *, name: str, service: str, zone: str, address: str
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = fleet.slots
        self.sharded = fleet.services[service]["Sharded"]
        self.leaving = False
        self.acked = asyncio.Event()
        self.beats = 0
        self.grants: list[tuple[int, int, int, float]] = []
        self.overlong: list[tuple[int, int]] = []
        self.working = 0
        self.arrivals: list[tuple[float, str, str]] = []
        self._free = asyncio.Semaphore(self.slots)
        self._connections: dict = {}
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    async def start(self, control: str) -> None:
        """Listen, and send heartbeats to the node beside it."""
        self._server = await asyncio.start_server(
            self._serve, *split_address(self.address), reuse_address=True
        )
        self._beating = asyncio.ensure_future(self._beat(control))
        self.fleet.record.note(f"instance {self.name} of {self.service} started")

    def stop_beating(self) -> None:
        """Send no more heartbeats."""
        if self._beating is not None:
            self._beating.cancel()

    async def end(self) -> None:
        """End the process: all connections are closed at once."""
        self.stop_beating()
        self.grants.clear()
        if self._server is not None:
            self._server.close()
        for writer, task in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        self.fleet.record.note(f"instance {self.name} ended")

    def build_beat(self, state: str) -> bytes:
        """Return the body of the next heartbeat."""
        self.beats += 1
        document = {
            "Address": self.address,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.zone,
                "CapacitySlots": self.slots,
            },
            "Status": {"State": state, "Seq": self.beats, "ColdRemaining": "0ms"},
        }
        return json.dumps(document).encode()

    async def post(self, control: str, call: str, body: bytes = b"") -> int:
        """Send a call to the node's Control address; return the status, 0 for none."""
        target = f"/instances/{self.name}/{call}"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                found = await exchange(control, "POST", target, {}, body)
                if found is not None:
                    return int(found.first[1])
        return 0

    async def _beat(self, control: str) -> None:
        while True:
            state = "draining" if self.leaving else "ready"
            status = await self.post(control, "heartbeat", self.build_beat(state))
            if status == 200:
                self.acked.set()
            await asyncio.sleep(HEARTBEAT_S)

    def holds(self, key: int) -> bool:
        """Tell whether it holds a key now."""
        return any(
            first <= key <= last and now() < until_s
            for first, last, _, until_s in self.grants
        )

    def is_overlong(self, key: int) -> bool:
        """Tell whether a key was ever granted for longer than MaxHold."""
        return any(first <= key <= last for first, last in self.overlong)

    async def _serve(self, reader, writer) -> None:
        self._connections[writer] = asyncio.current_task()
        with contextlib.suppress(OSError):
            while (call := await read_head(reader)) is not None:
                await read_body(reader, call)
                if not call.whole:
                    break
                answer = await self._answer_unless_left(call, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        self._connections.pop(writer, None)
        writer.close()

    async def _answer_unless_left(self, call: Message, reader) -> bytes | None:
        """Answer a call; drop it when its connection is closed meanwhile."""
        task = asyncio.ensure_future(self.answer(call))
        try:
            while not task.done():
                await asyncio.wait([task], timeout=0.02)
                if reader.at_eof() and not task.done():
                    return None
            return task.result()
        finally:
            task.cancel()

    async def answer(self, call: Message) -> bytes:
        """Return the response to a request, a grant, a release or a probe."""
        match call.first[1]:
            case "/grant":
                return self._grant(json.loads(call.body))
            case "/release":
                return await self._release(json.loads(call.body))
            case "/health":
                return build_reply(
                    503 if self.leaving else 200,
                    b"{}",
                    {
                        "Papayatack-Instance-Id": self.name,
                        "Papayatack-Server-Load": f"{self.working},0,{self.slots}",
                    },
                )
        return await self._work(call)

    def _grant(self, document: dict) -> bytes:
        first, last, fence = document["From"], document["To"], document["fence"]
        asked_s = float(document["Hold"].removesuffix("ms")) / 1000
        hold_s = min(asked_s, MAX_HOLD_S)
        self.fleet.record.note(f"{self.name} grant {first}-{last} {fence} {asked_s}s")
        if asked_s > MAX_HOLD_S:
            self.overlong.append((first, last))
        if any(
            start <= last and first <= end and known > fence
            for start, end, known, _ in self.grants
        ):
            return build_reply(409)
        self._cut(first, last)
        self.grants.append((first, last, fence, now() + hold_s))
        return build_reply(200, b"{}")

    def _cut(self, first: int, last: int) -> None:
        """Take keys out of the grants."""
        kept = []
        for start, end, fence, until_s in self.grants:
            for low, high in (
                (start, min(end, first - 1)),
                (max(start, last + 1), end),
            ):
                if low <= high:
                    kept.append((low, high, fence, until_s))
        self.grants = kept

    async def _release(self, document: dict) -> bytes:
        first, last = document["From"], document["To"]
        self.fleet.record.note(f"{self.name} release {first}-{last}")
        self._cut(first, last)
        return build_reply(200, b"{}", {"Papayatack-Handover": f"{first:x}{last:x}"})

    async def _work(self, call: Message) -> bytes:
        fields = call.fields
        request_id = fields.get("papayatack-request-id", "")
        base = {
            "Papayatack-Request-Id": request_id,
            "Papayatack-Server-Load": f"{self.working},0,{self.slots}",
        }
        refused = {**base, "Papayatack-Not-Executed": "1"}
        expected = fields.get("papayatack-expected-instance", self.name)
        if expected != self.name:
            self.arrivals.append((now(), request_id, "421"))
            named = {**refused, "Papayatack-Instance-Id": self.name}
            return build_reply(421, b"", named)
        key = int(fields.get("papayatack-shard-key", "-1"))
        if self.sharded and not self.holds(key):
            self.arrivals.append((now(), request_id, "421"))
            return build_reply(421, b"", refused)
        if self.working >= self.slots + QUEUE:
            self.arrivals.append((now(), request_id, "503"))
            return build_reply(503, b"", refused)
        self.arrivals.append((now(), request_id, "run"))
        self.working += 1
        run = Run(request_id, self.name, now(), call.body)
        try:
            async with self._free:
                self.fleet.add_run(run)
                await asyncio.sleep(self.fleet.work_s)
                run.ended = "done"
                body = f"{self.name} {request_id} ".encode().ljust(400, b".")
                signed = {**base, "Papayatack-Response-Signature": f"s.{request_id}"}
                return build_reply(200, body, signed)
        finally:
            self.working -= 1


async def exchange(
    address: str, method: str, target: str, fields: dict, body: bytes = b""
) -> Message | None:
    """Send a request on a new connection; return the response, ``None`` for none."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        if "Host" not in fields:
            lines.append(f"Host: {address}")
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer, reply=True)
        return answer
    finally:
        writer.transport.abort()


class Machine:
    """A machine: a node process, and the instance beside it."""

    def __init__(self, fleet, *, number: int, service: str, zone: str) -> None:
        self.fleet = fleet
        self.number = number
        self.service = service
        self.zone = zone
        self.renew_address()
        self.lives = 0
        self.instance: Instance | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = math.inf

    def renew_address(self) -> None:
        """Give the machine a new address, as to one that is added."""
        ip = self.fleet.pick_ip()
        self.ip = ip
        self.app = f"{ip}:{APP_PORT}"
        self.outbound = f"{ip}:{OUTBOUND_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.control = f"{ip}:{CONTROL_PORT}"

    async def start_instance(self) -> Instance:
        """Start a new lifetime of the instance."""
        self.lives += 1
        name = f"i-{self.number}{self.lives:02d}{os.getpid():x}"
        self.instance = Instance(
            self.fleet,
            name=name,
            service=self.service,
            zone=self.zone,
            address=self.app,
        )
        await self.instance.start(self.control)
        return self.instance

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        path = self.fleet.folder / f"node-{self.number}.ini"
        path.write_text(self.fleet.render(self), "utf-8")
        log = (self.fleet.folder / f"node-{self.number}.log").open("ab")
        paths = f"{ROOT / 'target' / 'deps'}"
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": paths,
                "PYTHONDONTWRITEBYTECODE": "1",
                "PAPAYATACK_BOOT": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_s = now()
        self.fleet.record.note(f"node {self.number} started, pid {self.process.pid}")

    async def wait_listening(self) -> None:
        """Wait until the node accepts connections at its Control address."""
        until_s = now() + LISTENING_S
        while now() < until_s:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*split_address(self.control))
                writer.close()
                return
            await asyncio.sleep(0.05)
        raise TimeoutError("the node does not listen")

    def send_signal(self, number: int) -> None:
        """Send a signal to the node."""
        self.fleet.record.note(f"node {self.number} gets signal {number}")
        self.process.send_signal(number)

    async def kill_node(self) -> None:
        """End the node at once."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def lose(self) -> None:
        """Lose the machine for good, without a word."""
        await asyncio.gather(self.kill_node(), self.instance.end())

    async def remove(self) -> None:
        """Take the machine away as planned: the instance leaves, then the node."""
        instance = self.instance
        instance.stop_beating()
        instance.leaving = True
        status = await instance.post(self.control, "deregister")
        self.fleet.record.note(f"{instance.name} deregisters: {status}")
        await asyncio.sleep(DRAIN_S + 1.0)
        await instance.end()
        self.send_signal(signal.SIGTERM)
        await self.process.wait()
        self.fleet.record.note(f"node {self.number} has ended")


class Fleet:
    """A store, machines and consumers on loopback.

    Attributes:
        runs: What ran, by request id.
        work_s: How long a request works at an instance.
        slots: Capacity of the instances that start from now on.
        body_bytes: Longest body that the next manifest allows.
    """

    def __init__(self, folder: pathlib.Path, layout: list[tuple[str, str]]) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.services = {"desk": {"Sharded": True}, "papers": {"Sharded": False}}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.work_s = 0.04
        self.slots = 13
        self.body_bytes = 67_108_864
        self.version = 7
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        role = deploy["roles"]["node"]
        self.command = [sys.executable, *shlex.split(role["run"])[1:]]
        self._net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._last_ip = 0
        self.template = (ROOT / role["template"]).read_text("utf-8")
        self.machines = [
            Machine(self, number=number, service=service, zone=zone)
            for number, (service, zone) in enumerate(layout)
        ]

    def add_machine(self, service: str, zone: str) -> Machine:
        """Return a machine that is added, not started yet."""
        machine = Machine(self, number=len(self.machines), service=service, zone=zone)
        self.machines.append(machine)
        return machine

    def pick_ip(self) -> str:
        """Return a loopback address for a machine; all machines use the same ports."""
        while True:
            self._last_ip += 1
            ip = f"{self._net}.{self._last_ip}"
            if is_free(ip):
                return ip

    def render(self, machine: Machine) -> str:
        """Fill in the settings template."""
        values = {
            "NodeName": f"sidecar-{machine.number}",
            "Zone": machine.zone,
            "Region": "barranquilla",
            "Ip": machine.ip,
            "Listen.Outbound": machine.outbound,
            "Listen.Control": machine.control,
            "Listen.Ready": machine.ready,
            "InternalPortRange.0": str(PEERS_PORT),
            "InternalPortRange.1": str(OPERATORS_PORT),
            "Service": machine.service,
            "AppAddr": machine.app,
            "Heartbeat": "870ms",
            "Platform.Address": self.store.address,
            "Platform.keep": "300s",
            **{f"Bounds.{name}": value for name, value in BOUNDS.items()},
        }
        zones = "\n".join(f"{zone} = barranquilla" for zone in ZONES)
        text = re.sub(r"\{\{#Zones\}\}.*\{\{/Zones\}\}", zones, self.template, flags=16)
        return re.sub(r"\{\{([^}]*)\}\}", lambda found: values[found[1]], text)

    def build_manifest(self, routes: dict | None = None) -> bytes:
        """Return the next version of the manifest."""
        self.version += 3
        common = {
            "Host": HOST,
            "Timeout": "3000ms",
            "TargetLatency": "1000ms",
            "MaxAttempts": 2,
        }
        known = {
            "r-order": {
                "PathPrefix": "/orders/",
                "RouteKind": "non_idempotent",
                "Priority": 1,
                "Service": "desk",
            },
            "r-list": {
                "PathPrefix": "/list/",
                "RouteKind": "idempotent",
                "Priority": 2,
                "Service": "desk",
            },
            "r-profile": {
                "PathPrefix": "/profile/",
                "RouteKind": "idempotent",
                "Priority": 1,
                "Service": "papers",
            },
            "r-book": {
                "PathPrefix": "/book/",
                "RouteKind": "non_idempotent",
                "Priority": 1,
                "Service": "papers",
            },
        }
        document = {
            "Version": f"{self.version:08x}",
            "Routes": {
                name: {**common, **route}
                for name, route in {**known, **(routes or {})}.items()
            },
            "Services": {
                name: {
                    "HealthPath": "/health",
                    "MaxConnections": 130,
                    "Protocol": "h1",
                    "Tls": False,
                    "Warmup": "3s",
                    "Grants": "direct",
                    **options,
                }
                for name, options in self.services.items()
            },
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": self.body_bytes,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
        }
        return json.dumps(document).encode()

    async def start(self) -> None:
        """Start everything, and wait until all keys are served at all machines."""
        await self.store.start()
        for machine in self.machines:
            await machine.start_node()
            await machine.start_instance()
        await self.store.put("keyed.op", b"config", self.build_manifest())
        until_s = now() + 40
        while not await self._is_served():
            if now() > until_s:
                raise TimeoutError("the fleet did not begin to serve")
            await asyncio.sleep(0.2)
        self.record.note("all keys are served")

    async def _is_served(self) -> bool:
        services = {machine.service for machine in self.machines}
        for machine in self.machines:
            if "desk" in services:
                for key in (5, 22_000, 44_000, 65_000):
                    found = await self.ask(machine, "/list/a", key=key, quiet=True)
                    if found != 200:
                        return False
            if "papers" not in services:
                continue
            if await self.ask(machine, "/profile/a", quiet=True) != 200:
                return False
        return True

    def add_run(self, run: Run) -> None:
        """Record that an instance began to work on a request."""
        self.runs[run.request_id].append(run)
        self.record.note(f"{run.instance} runs {run.request_id}")

    async def ask(
        self,
        machine: Machine,
        path: str,
        *,
        key: int | None = None,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        quiet: bool = False,
        request_id: str = "",
    ) -> int:
        """Send a consumer's request; return the status, 0 if there is no answer."""
        request_id = request_id or f"q{next(KNOWN_IDS):06x}"
        fields = {
            "Host": HOST,
            "Papayatack-Request-Id": request_id,
            "Papayatack-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            fields["Papayatack-Shard-Key"] = str(key)
        if not quiet:
            text = f"consumer sends {request_id} {method} {path} key={key}"
            self.record.note(f"{text} to node {machine.number}")
        status, detail = 0, "no answer"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                found = await exchange(machine.outbound, method, path, fields, body)
                if found is not None:
                    status = int(found.first[1])
                    detail = found.body[:60].decode("latin-1")
        if not quiet:
            self.record.note(f"consumer gets {status} for {request_id}: {detail}")
        return status

    async def stop(self) -> None:
        """End all processes."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
            if machine.instance is not None:
                await machine.instance.end()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def has_trouble() -> bool:
    """Tell whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: pathlib.Path, layout, play, prepare=None) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if not, 2 if not run.

    ``prepare`` may change the fleet before it starts.
    """

    async def play_all() -> int:
        fleet = Fleet(folder, layout)
        try:
            if prepare is not None:
                prepare(fleet)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
            async with asyncio.timeout(LIMIT_S):
                await fleet.start()
                broken, text = await play(fleet)
            fleet.record.note(f"RESULT {'broken' if broken else 'held'}: {text}")
            print(f"{'BROKEN' if broken else 'held'}: {text}")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            fleet.record.note(f"RESULT not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(play_all()))
