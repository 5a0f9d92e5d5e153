"""A stand-in of the platform's store: topics that keep the newest record of a key.

Its faults are attributes: refusals, lost answers, garbled ones and dropped history. It
may return from an older copy of its records, in a higher era.
"""

import asyncio
import base64
import dataclasses
import json
import struct
from collections.abc import Iterator
from urllib.parse import parse_qs, urlsplit

from papayatack.network.bodies import BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Request, Response
from papayatack.observability.metrics import Metrics

__all__ = ["KeyedStore", "StoreServer"]

PAGE_ITEMS = 500
MAX_READ_KB = 1024
WAIT_STEP_S = 0.01
LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")


@dataclasses.dataclass(slots=True, kw_only=True)
class Topic:
    """Records in their order.

    Attributes:
        records: Key and value by offset.
        first: Offset from which the history is kept.
    """

    records: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    first: int = 0


class KeyedStore:
    """Topics with one partition each.

    Attributes:
        era: Named in all answers; ``None`` for a store that names none.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self._topics: dict[str, Topic] = {}

    def copy(self) -> dict[str, Topic]:
        """Return a copy of all topics."""
        return {
            name: Topic(records=list(topic.records), first=topic.first)
            for name, topic in self._topics.items()
        }

    def return_from(self, copy: dict[str, Topic]) -> None:
        """Lose all that was written since a copy; the era rises."""
        for name, topic in self._topics.items():
            older = copy.get(name, Topic())
            topic.records[:] = older.records
            topic.first = min(older.first, len(older.records))
        self.era = (self.era or 0) + 1

    def append(self, topic: str, key: bytes, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self.find(topic).records
        records.append((key, value))
        return len(records) - 1

    def find(self, topic: str) -> Topic:
        """Return a topic, made on its first use."""
        return self._topics.setdefault(topic, Topic())

    def drop_history(self, *, retained: int = 0) -> None:
        """Forget all but the newest record of each key, and the last few records."""
        for topic in self._topics.values():
            topic.first = max(len(topic.records) - retained, 0)

    def list_newest(self, topic: str) -> list[tuple[bytes, bytes, int]]:
        """Return the newest record of each key that has a value, by key."""
        newest = {}
        for offset, (key, value) in enumerate(self.find(topic).records):
            newest[key] = (key, value, offset)
        return sorted(item for item in newest.values() if item[1])


class StoreServer:
    """Serves a store over HTTP.

    Attributes:
        refuse_with: Status with which every call is refused, ``None`` for none.
        lose_answers: Whether appends are done and not answered.
        garble: Whether reads are answered with other bytes.
        delay_s: Time for which each call waits before it is done.
        refuse_after: Number of calls that are answered before all others are refused;
            ``None`` for no limit.
    """

    def __init__(self, *, store: KeyedStore | None = None, port: int = 0) -> None:
        self.store = store or KeyedStore()
        self.refuse_with: int | None = None
        self.lose_answers = False
        self.garble = False
        self.delay_s = 0.0
        self.refuse_after: int | None = None
        self._server = CallerServer(
            host="127.0.0.1", port=port, handler=self._handle, metrics=Metrics()
        )

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.port

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop at once."""
        await self._server.stop(timeout_s=0.0)

    async def _handle(self, request: Request) -> Response:
        response = await self.answer(request)
        if self.store.era is not None:
            field = (b"papayatack-store-era", b"%d" % self.store.era)
            response.headers = (*response.headers, field)
        return response

    async def answer(self, request: Request) -> Response:
        """Return the answer to a call, without the era."""
        await asyncio.sleep(self.delay_s)
        if self.refuse_with is not None:
            return _reply(self.refuse_with, b"{}")
        if self.refuse_after is not None:
            if not self.refuse_after:
                return _reply(503, b"{}")
            self.refuse_after -= 1
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = b""
        while data := await request.body.read():
            body += data
        match parts.path:
            case "/log-append":
                return await self._append(query, body)
            case "/log-read":
                return await self._read(query)
            case "/log-newest":
                return self._read_newest(query)
        return _reply(404, b"{}")

    async def _append(self, query: dict[str, str], body: bytes) -> Response:
        records = self.store.find(query["Topic"]).records
        if "At" in query and int(query["At"]) != len(records):
            return _reply(412, json.dumps({"EndOffset": len(records)}).encode())
        offset, at = None, 0
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            record = body[at + LENGTH.size : at + LENGTH.size + length]
            at += LENGTH.size + length
            key_end = 1 + record[0]
            added = self.store.append(
                query["Topic"], record[1:key_end], record[key_end:]
            )
            offset = added if offset is None else offset
        if self.lose_answers:
            await asyncio.get_running_loop().create_future()
        end = len(self.store.find(query["Topic"]).records)
        return _reply(200, json.dumps({"Offset": offset, "EndOffset": end}).encode())

    async def _read(self, query: dict[str, str]) -> Response:
        topic, start = self.store.find(query["Topic"]), int(query["From"])
        if self.garble:
            return _reply(200, b"\x00\x01nonsense")
        deadline_s = asyncio.get_running_loop().time() + int(query["WaitMs"]) / 1000
        while (
            start == len(topic.records)
            and asyncio.get_running_loop().time() < deadline_s
        ):
            await asyncio.sleep(WAIT_STEP_S)
        if start < topic.first or start > len(topic.records):
            return _reply(410, json.dumps({"FirstOffset": topic.first}).encode())
        content = POSITIONS.pack(len(topic.records), topic.first)
        limit_bytes = int(query.get("MaxKb", MAX_READ_KB)) * 1024
        content += b"".join(_list_page(topic.records[start:], limit_bytes))
        return _reply(200, content)

    def _read_newest(self, query: dict[str, str]) -> Response:
        newest = self.store.list_newest(query["Topic"])
        after = query.get("after", "").encode()
        left = [item for item in newest if item[0] > after]
        document = {
            "items": [
                {
                    "Key": key.decode(),
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
                for key, value, offset in left[:PAGE_ITEMS]
            ],
            "HasMore": len(left) > PAGE_ITEMS,
            "EndOffset": len(self.store.find(query["Topic"]).records),
        }
        return _reply(200, json.dumps(document).encode())


def _list_page(records: list[tuple[bytes, bytes]], limit_bytes: int) -> Iterator[bytes]:
    """Yield the first records up to a size, and at least one."""
    size = 0
    for key, value in records:
        record = bytes([len(key)]) + key + value
        size += LENGTH.size + len(record)
        if size > limit_bytes and size > LENGTH.size + len(record):
            break
        yield LENGTH.pack(len(record)) + record


def _reply(status: int, data: bytes) -> Response:
    headers = ((b"content-length", b"%d" % len(data)),)
    return Response(status=status, headers=headers, body=BytesBody(data=data))
