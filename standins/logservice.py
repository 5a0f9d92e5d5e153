"""A small append-only log service over HTTP, with faults on demand.

Run it with ``python -m standins.logservice --port 7400``. It answers:

* ``POST /streams/NAME/records``: appends the body, answers ``{"offset": N}``;
* ``GET /streams/NAME/records?from=N&limit=N&wait_ms=N``: answers
  ``{"first": N, "end": N, "records": [base64, ...]}``, or 410 with
  ``{"first": N}`` (the oldest kept offset) if the records have expired;
* ``POST /control``: changes faults and retention; any of the members
  ``outage`` (none, refuse, hang, close), ``delay_ms``, ``lose_answers``,
  ``retention_s``, ``max_records`` and ``expire`` (``{"stream": S, "before": N}``).

An answer of status 503 says that an append had no effect.
"""

import asyncio
import base64
import dataclasses
import json
import urllib.parse
from collections.abc import Mapping

import h11
from absl import app, flags
from returns.result import Failure, Success

from standins.logstore import LogStore, Outage

__all__ = ["LogServer", "LogStore", "main"]

READ_BYTES = 64 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_LIMIT = 10_000

FLAGS = flags.FLAGS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    status: int
    document: Mapping[str, object]


class _DropConnectionError(Exception):
    """The connection is to be closed without an answer."""


class LogServer:
    """Serves a :class:`LogStore` over HTTP on loopback."""

    def __init__(self, *, store: LogStore, host: str = "127.0.0.1", port: int = 0):
        self.store = store
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port, limit=READ_BYTES
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.wait_closed()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve_connection(reader, writer)
        except (OSError, h11.ProtocolError, _DropConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_connection(self, reader, writer) -> None:
        connection = h11.Connection(our_role=h11.SERVER)
        while True:
            request, body = await _read_request(connection, reader)
            if request is None:
                return
            answer = await self._answer(request, body)
            content = json.dumps(answer.document).encode()
            headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(content))),
            ]
            head = h11.Response(status_code=answer.status, headers=headers)
            writer.write(connection.send(head))
            writer.write(connection.send(h11.Data(data=content)))
            writer.write(connection.send(h11.EndOfMessage()))
            await writer.drain()
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _answer(self, request: h11.Request, body: bytes) -> _Answer:
        target = urllib.parse.urlsplit(request.target.decode())
        parts = [urllib.parse.unquote(part) for part in target.path.split("/")[1:]]
        try:
            if parts == ["control"] and request.method == b"POST":
                return self._control(json.loads(body))
            if len(parts) == 3 and parts[0] == "streams" and parts[2] == "records":
                await self._apply_faults()
                if self.store.faults.outage is Outage.REFUSE:
                    return _Answer(status=503, document={"error": "outage"})
                if request.method == b"POST":
                    return self._append(parts[1], body)
                if request.method == b"GET":
                    return await self._read(parts[1], target.query)
        except (ValueError, KeyError, TypeError) as error:
            return _Answer(status=400, document={"error": str(error)})
        return _Answer(status=404, document={"error": "no such resource"})

    async def _apply_faults(self) -> None:
        faults = self.store.faults
        if faults.outage is Outage.CLOSE:
            raise _DropConnectionError
        if faults.outage is Outage.HANG:
            await asyncio.Event().wait()
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)

    def _append(self, name: str, body: bytes) -> _Answer:
        offset = self.store.append(name, body)
        if self.store.faults.take_lost_answer():
            raise _DropConnectionError
        return _Answer(status=200, document={"offset": offset})

    async def _read(self, name: str, query: str) -> _Answer:
        arguments = dict(urllib.parse.parse_qsl(query))
        offset = int(arguments["from"])
        limit = min(int(arguments.get("limit", "100")), MAX_LIMIT)
        wait_s = int(arguments.get("wait_ms", "0")) / 1000
        await self.store.wait_for(name, offset, wait_s=wait_s)
        match self.store.read(name, offset, limit=limit):
            case Success(page):
                records = [base64.b64encode(item).decode() for item in page.payloads]
                document = {"first": page.first, "end": page.end, "records": records}
                return _Answer(status=200, document=document)
            case Failure(first):
                return _Answer(status=410, document={"first": first})

    def _control(self, document: Mapping) -> _Answer:
        faults = self.store.faults
        if "outage" in document:
            faults.outage = Outage(document["outage"])
        if "delay_ms" in document:
            faults.delay_s = document["delay_ms"] / 1000
        if "lose_answers" in document:
            faults.lose_answers = int(document["lose_answers"])
        if "retention_s" in document:
            self.store.retention_s = document["retention_s"]
        if "max_records" in document:
            self.store.max_records = document["max_records"]
        if "expire" in document:
            request = document["expire"]
            self.store.expire(request["stream"], int(request["before"]))
        ends = {name: stream.end for name, stream in self.store.streams.items()}
        return _Answer(
            status=200,
            document={"ends": ends, "appends": self.store.append_count},
        )


async def _read_request(connection, reader) -> tuple[h11.Request | None, bytes]:
    """Return the next request with its body, or no request at the end."""
    request = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif type(event) is h11.Request:
            request = event
        elif type(event) is h11.Data:
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise _DropConnectionError
        elif type(event) is h11.EndOfMessage:
            return request, bytes(body)
        else:
            return None, b""


async def _serve(port: int, retention_s: float | None, max_records: int | None):
    store = LogStore(retention_s=retention_s, max_records=max_records)
    server = LogServer(store=store, port=port)
    await server.start()
    print(f"listening on 127.0.0.1:{server.port}", flush=True)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Run the stand-in until it is ended."""
    del argv
    try:
        asyncio.run(_serve(FLAGS.port, FLAGS.retention_s, FLAGS.max_records))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "Port on 127.0.0.1; 0 takes a free one.")
    flags.DEFINE_float("retention_s", None, "Seconds for which records are kept.")
    flags.DEFINE_integer("max_records", None, "Records kept per stream.")
    app.run(main)
