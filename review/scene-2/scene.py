"""A small deployment on loopback for the cases of this review.

The nodes are the project's own processes, started with the command of the deploy file
and with settings from its template. The store, the instances and the consumers are
stand-ins in this process.
"""

import asyncio
import contextlib
import dataclasses
import functools
import json
import logging
import os
import pathlib
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.fleet import pick_ports  # noqa: E402
from standins.platformstore import StoreServer  # noqa: E402
from standins.platformupstream import PlatformUpstream  # noqa: E402

__all__ = [
    "BROKEN",
    "HELD",
    "NOT_RUN",
    "Answer",
    "Deployment",
    "HolderWatch",
    "Instance",
    "Machine",
    "Record",
    "build_manifest",
    "check_tasks",
    "run_case",
]

HELD, BROKEN, NOT_RUN = 0, 1, 2
BROKEN_STATUS = 10
"""Exit status of this process for a broken rule; ``run.sh`` makes 1 of it."""

HOST = "127.0.0.1"
OK = 200
HEARTBEAT_S = 0.87
START_LIMIT_S = 40.0
MS_PER_S = 1000
SLICE_KEYS = 128
HELD_TWICE_S = 0.5
WATCH_S = 0.02
STALL_S = 0.2
KEYS = 65_536
ZONES = {"bq-norte": "barranquilla", "bq-centro": "barranquilla"}
BOUNDS = {
    "Drain": "2000ms",
    "Grace": "6s",
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
    "BudgetExtraRetries": 64,
    "MaxHold": "10000ms",
}
LAYOUT = (
    ("bq-norte", "desk"),
    ("bq-centro", "desk"),
    ("bq-norte", "desk"),
    ("bq-centro", "records"),
    ("bq-norte", "records"),
)


def read_clock() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def build_manifest(*, timeout_ms: int = 1500, version: int = 12) -> bytes:
    """Return the operator's manifest."""

    def build_route(prefix: str, kind: str, service: str, priority: int) -> dict:
        return {
            "Host": "crew.example",
            "PathPrefix": prefix,
            "RouteKind": kind,
            "Timeout": f"{timeout_ms}ms",
            "TargetLatency": f"{timeout_ms // 2}ms",
            "Priority": priority,
            "Service": service,
            "MaxAttempts": 2,
        }

    document = {
        "Version": f"{version:08x}",
        "Routes": {
            "offer-accept": build_route("/offers/", "non_idempotent", "desk", 1),
            "vacancy-list": build_route("/vacancies/", "idempotent", "desk", 2),
            "profile-view": build_route("/profiles/", "idempotent", "records", 1),
        },
        "Services": {
            "desk": {
                "HealthPath": "/health",
                "MaxConnections": 590,
                "Sharded": True,
                "Warmup": "3s",
            },
            "records": {"HealthPath": "/health", "MaxConnections": 590},
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1_000_000,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }
    return json.dumps(document).encode()


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def tell(self, text: str) -> None:
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


class Instance(PlatformUpstream):
    """An instance: its health check waits for a slot like any other request.

    A crash ends all that it does at once. What was sent to the process that has ended
    has no effect on the next one.

    Attributes:
        running: Number of requests that it works on.
        on_grant: Called with each grant that it takes: its id, the first and the last
            key, and the fence number.
    """

    _life = 0

    def __init__(self, *, record: Record, **options: str) -> None:
        self._at_work: set[asyncio.Future] = set()
        self.on_grant: Callable[[str, int, int, int], None] | None = None
        super().__init__(**options)
        self.running = 0
        self._freed = asyncio.Event()
        self._record = record

    def _build_server(self, port):
        server = super()._build_server(port)
        server.handler = functools.partial(self._handle_in_life, self._life)
        return server

    def crash(self) -> None:
        """End at once, and start again as another process after ``down_s``."""
        if self.is_down:
            return
        self._life += 1
        for work in self._at_work:
            work.cancel()
        self.grants.clear()
        super().crash()

    async def _handle_in_life(self, life, request):
        if life != self._life:
            await asyncio.get_running_loop().create_future()
        work = asyncio.ensure_future(self._handle(request))
        self._at_work.add(work)
        work.add_done_callback(self._at_work.discard)
        return await work

    async def _handle(self, request):
        if request.target == b"/health":
            while self.running >= self.slots:
                self._freed.clear()
                await self._freed.wait()
        return await super()._handle(request)

    async def _work(self, request):
        self.running += 1
        before = len(self.runs)
        try:
            response = await super()._work(request)
        finally:
            self.running -= 1
            self._freed.set()
            if len(self.runs) > before:
                target = request.target.decode()
                self._record.write(f"{self.instance} ran {target}")
        return response

    def _grant(self, document):
        response = super()._grant(document)
        self._record.write(
            f"{self.instance} grant {document['From']}-{document['To']}"
            f" fence {document['fence']} hold {document['Hold']}: {response.status}"
        )
        if self.on_grant is not None and response.status == OK:
            keys = document["From"], document["To"]
            self.on_grant(self.instance, *keys, document["fence"])
        return response

    def _release(self, document):
        response = super()._release(document)
        self._record.write(
            f"{self.instance} release {document['From']}-{document['To']}"
            f" fence {document['fence']}: {response.status}"
        )
        return response

    @property
    def is_down(self) -> bool:
        """Whether it has crashed and not started again."""
        return self._restart is not None and not self._restart.done()

    @property
    def heartbeats_sent(self) -> int:
        """Number of the last heartbeat."""
        return self._sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a consumer got; status 0 stands for none."""

    status: int
    head: str = ""
    body: bytes = b""


class Machine:
    """One sidecar machine: an instance and the node beside it.

    Attributes:
        instance: The instance.
        ports: The node's ports by their use.
        process: The node's process.
        beats: Whether the instance sends heartbeats.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        zone: str,
        service: str,
        number: int,
        store_port: int,
        record: Record,
    ) -> None:
        self.record = record
        self.instance = Instance(
            record=record, instance=f"i-{number}", service=service, place=zone
        )
        names = ("Outbound", "Control", "Ready", "Inbound", "internal", "operators")
        self.ports = dict(zip(names, pick_ports(len(names)), strict=True))
        self.process: asyncio.subprocess.Process | None = None
        self.beats = True
        self._folder = folder
        self._zone = zone
        self._number = number
        self._store_port = store_port
        self._reporting: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name of the machine."""
        return f"sidecar-{self._number}"

    async def start(self) -> None:
        """Start the instance, its heartbeats and the node."""
        await self.instance.start()
        await self.start_node()
        self._reporting = asyncio.ensure_future(self._report())

    async def start_node(self) -> None:
        """Start the node's process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["node"]
        fields = self._build_fields()
        path = self._folder / f"{self.name}.ini"
        template = (ROOT / role["template"]).read_text("utf-8")
        path.write_text(render(template, fields), "utf-8")
        given = {name: render(text, fields) for name, text in role["env"].items()}
        with (self._folder / f"{self.name}.log").open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PAPAYATACK_BOOT": str(path),
                    **given,
                },
                stdout=lines,
                stderr=lines,
            )
        self.record.write(f"{self.name} node started, pid {self.process.pid}")

    def _build_fields(self) -> dict:
        """Return the fields of the settings with the platform's names."""
        ports = self.ports
        return {
            "NodeName": self.name,
            "Zone": self._zone,
            "Region": ZONES[self._zone],
            "Ip": HOST,
            "Service": self.instance.service,
            "AppAddr": self.instance.address,
            "Limits": {"MemoryMb": 300, "MaxFds": 4100},
            "Listen": {
                name: f"{HOST}:{ports[name]}"
                for name in ("Outbound", "Control", "Ready", "Inbound")
            },
            "InternalPortRange": [ports["internal"], ports["operators"]],
            "Zones": ZONES,
            "Heartbeat": f"{int(HEARTBEAT_S * MS_PER_S)}ms",
            "Platform": {"Address": f"{HOST}:{self._store_port}", "keep": "300s"},
            "Bounds": BOUNDS,
        }

    async def _report(self) -> None:
        while True:
            if self.beats and not self.instance.is_down:
                with contextlib.suppress(OSError, TimeoutError):
                    await self.instance.send_heartbeat(self.ports["Control"], "ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def ask(
        self,
        path: str,
        *,
        request_id: str,
        key: int | None = None,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1500,
    ) -> Answer:
        """Send a request as a consumer on this machine; return the answer."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: crew.example",
            f"Papayatack-Request-Id: {request_id}",
            f"Papayatack-Deadline-Ms: {deadline_ms}",
            "Connection: close",
        ]
        if key is not None:
            lines.append(f"Papayatack-Shard-Key: {key}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.record.write(f"{request_id} sent to {self.name}: {method} {path}")
        answer = await self._exchange("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.record.write(f"{request_id} answered {answer.status}")
        return answer

    async def _exchange(self, data: bytes) -> Answer:
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports["Outbound"]
                )
                writer.write(data)
                content = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return Answer(0)
        head, _, body = content.partition(b"\r\n\r\n")
        words = head.split()
        if len(words) < 2:
            return Answer(0)
        return Answer(int(words[1]), head.decode("latin-1").lower(), body)

    async def stop(self) -> None:
        """End the node, the heartbeats and the instance."""
        if self._reporting is not None:
            self._reporting.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.instance.stop()


def render(template: str, fields: dict) -> str:
    """Fill in a template of the deploy file, as far as it uses the notation."""

    def find(name: str) -> object:
        value: object = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part, "") if isinstance(value, dict) else ""
        return value

    def fill_section(match: re.Match) -> str:
        entries = find(match[1])
        assert isinstance(entries, dict)
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", str(value))
            for key, value in entries.items()
        )

    text = re.sub(r"{{#([\w.]+)}}\n(.*?){{/\1}}\n?", fill_section, template, flags=16)
    return re.sub(r"{{([\w.]+)}}", lambda match: str(find(match[1])), text)


class Deployment:
    """A store and a few machines.

    Attributes:
        machines: The machines.
        store: The store.
    """

    def __init__(self, *, record: Record, layout=LAYOUT, prepare=None) -> None:
        self.machines: list[Machine] = []
        self.store = StoreServer()
        self._record = record
        self._layout = layout
        self._prepare = prepare or (lambda machine: None)
        self._folder = tempfile.TemporaryDirectory(prefix="papayatack-review-")

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        for number, (zone, service) in enumerate(self._layout):
            machine = Machine(
                folder=pathlib.Path(self._folder.name),
                zone=zone,
                service=service,
                number=number,
                store_port=self.store.port,
                record=self._record,
            )
            self._prepare(machine)
            self.machines.append(machine)
        try:
            await asyncio.gather(*(machine.start() for machine in self.machines))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        for machine in self.machines:
            await machine.stop()
        await self.store.stop()
        self._folder.cleanup()

    def publish(self, manifest: bytes) -> None:
        """Store a manifest, as the operator does."""
        self.store.store.append("keyed.op", b"config", manifest)

    @property
    def holders(self) -> list[Instance]:
        """The instances of the service that is divided by key."""
        found = [machine.instance for machine in self.machines]
        return [instance for instance in found if instance.service == "desk"]

    async def wait_served(self) -> None:
        """Wait until each machine serves both services.

        Raises:
            TimeoutError: That takes too long.
        """
        async with asyncio.timeout(START_LIMIT_S):
            for machine in self.machines:
                for key in range(0, KEYS, 8 * 1021):
                    await self._wait_served(machine, key)

    async def _wait_served(self, machine: Machine, key: int) -> None:
        while True:
            if await self._is_served(machine, key):
                return
            await asyncio.sleep(0.1)

    async def _is_served(self, machine: Machine, key: int) -> bool:
        keyed = await machine.ask("/vacancies/start", request_id="start", key=key)
        plain = await machine.ask("/profiles/start", request_id="start")
        return keyed.status == plain.status == 200


class HolderWatch:
    """Finds keys that two instances hold at the same time.

    Attributes:
        longest: Longest time, the instances and the first key.
    """

    def __init__(self, *, deployment: Deployment, record: Record) -> None:
        self.longest: tuple[float, tuple[str, ...], int] = (0.0, (), 0)
        self.keys: set[int] = set()
        self._deployment = deployment
        self._record = record
        self._since_s: dict[int, float] = {}
        self._last_s = read_clock()

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            self._look(read_clock())
            await asyncio.sleep(WATCH_S)

    def _look(self, now: float) -> None:
        if now - self._last_s > STALL_S:
            self._record.write("this process stood still; spans begin anew")
            self._since_s.clear()
        self._last_s = now
        for key in range(0, KEYS, SLICE_KEYS):
            held = tuple(
                instance.instance
                for instance in self._deployment.holders
                if not instance.is_down and instance.holds(key)
            )
            if len(held) < 2:
                self._since_s.pop(key, None)
                continue
            span_s = now - self._since_s.setdefault(key, now)
            if span_s > HELD_TWICE_S and key not in self.keys:
                self.keys.add(key)
                self._record.write(f"key {key} is held by {held} for {span_s:.2f} s")
            self.longest = max(self.longest, (span_s, held, key))


def check_tasks(tasks: list[asyncio.Task]) -> None:
    """Fail if a watch or a consumer has ended, as its check would be missing.

    Raises:
        RuntimeError: One has ended.
    """
    for task in tasks:
        if task.done():
            error = None if task.cancelled() else task.exception()
            raise RuntimeError("a task of the script has ended") from error


def run_case(folder: str, play) -> None:
    """Play a case and exit with its result; ``play`` gets the record and the switch.

    A broken rule has a status of its own, as Python ends with 1 after any error.
    """
    logging.disable()
    path = pathlib.Path(folder).resolve().parent / "record.txt"
    record = Record(path=path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(_play_until_told(play(record, has_trouble)))
    except (Exception, asyncio.CancelledError) as error:
        record.tell(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.tell({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(BROKEN_STATUS if result == BROKEN else result)


async def _play_until_told(playing) -> int:
    """Play, and end all processes in order if this one is told to end."""
    task = asyncio.ensure_future(playing)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task
