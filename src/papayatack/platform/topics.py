"""Records of the store's topics, and how the store encodes them."""

import base64
import dataclasses
import struct

import pydantic
from pydantic.alias_generators import to_pascal

__all__ = [
    "AppendResponse",
    "AppendedRecords",
    "KeyScan",
    "NewestResponse",
    "StoreRecord",
    "TopicPage",
    "encode_record",
    "parse_conflict",
    "parse_records",
]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _StoreResponse(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(alias_generator=to_pascal)


class AppendResponse(_StoreResponse):
    """The store's response to an append that succeeded."""

    offset: pydantic.NonNegativeInt


class _ConflictResponse(_StoreResponse):
    end_offset: pydantic.NonNegativeInt = 0


class _NewestItem(_StoreResponse):
    key: str
    value: str
    offset: pydantic.NonNegativeInt


class NewestResponse(_StoreResponse):
    """A page of the newest record of each key."""

    items: list[_NewestItem] = pydantic.Field(alias="items")
    has_more: bool = False
    end_offset: pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRecord:
    """A record of a topic.

    Attributes:
        offset: Its offset in the store.
        key: Its key.
        value: Its content.
    """

    offset: int
    key: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TopicPage:
    """Records of a topic in order of their offsets.

    Attributes:
        records: The records.
        end: End offset of the topic.
        newest: The newest record of each key, if the page was read that way.
        end_before: End offset of the topic before the first of these was read.
    """

    records: tuple[StoreRecord, ...]
    end: int
    newest: tuple[StoreRecord, ...] | None = None
    end_before: int = 0

    def skip_to(self, offset: int) -> "TopicPage":
        """Return the page without the records before an offset."""
        kept = tuple(record for record in self.records if record.offset >= offset)
        end = max([self.end, *(record.offset + 1 for record in kept)])
        return dataclasses.replace(self, records=kept, end=end)


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyScan:
    """Progress of reading the newest record of each key of a topic, page by page.

    Attributes:
        topic: The topic.
        after: Key after which the next page begins.
        records: The records of the pages read so far.
        end_before: End offset of the topic at the first page.
        end: End offset of the topic at the last page.
        has_more: Whether there are more pages.
    """

    topic: str
    after: str = ""
    records: list[StoreRecord] = dataclasses.field(default_factory=list)
    end_before: int = 0
    end: int = 0
    has_more: bool = True

    def add(self, response: NewestResponse) -> None:
        """Add the next page."""
        if not self.records:
            self.end_before = response.end_offset
        self.records.extend(map(_parse_item, response.items))
        self.end = response.end_offset
        self.has_more = response.has_more and bool(response.items)
        if response.items:
            self.after = response.items[-1].key


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendedRecords:
    """The response to an append.

    Attributes:
        status: HTTP status.
        offset: Offset of the first record, ``None`` unless the append succeeded.
        end: End of the topic, if the append failed because it did not end as required.
    """

    status: int
    offset: int | None = None
    end: int = 0


def encode_record(key: bytes, value: bytes) -> bytes:
    """Return a record as the store takes it in an append."""
    content = bytes([len(key)]) + key + value
    return _LENGTH.pack(len(content)) + content


def parse_conflict(content: bytes) -> int:
    """Return the end of the topic that a rejected append names, 0 if it names none."""
    try:
        return _ConflictResponse.model_validate_json(content).end_offset
    except pydantic.ValidationError:
        return 0


def _parse_item(item: _NewestItem) -> StoreRecord:
    value = base64.b64decode(item.value)
    return StoreRecord(offset=item.offset, key=item.key.encode(), value=value)


def parse_records(content: bytes, offset: int) -> TopicPage:
    """Parse a read response: end offset, first retained offset, then the records.

    Raises:
        ValueError: The content is truncated or malformed.
    """
    try:
        end, _ = _OFFSETS.unpack_from(content)
        records = []
        position = _OFFSETS.size
        while position < len(content):
            (length,) = _LENGTH.unpack_from(content, position)
            position += _LENGTH.size
            record = content[position : position + length]
            if len(record) < length:
                raise ValueError("record truncated")
            position += length
            records.append(_parse_record(offset + len(records), record))
    except struct.error as error:
        raise ValueError(f"malformed page of records: {error}") from error
    return TopicPage(records=tuple(records), end=end)


def _parse_record(offset: int, content: bytes) -> StoreRecord:
    key_length = content[0] if content else 0
    return StoreRecord(
        offset=offset,
        key=content[1 : 1 + key_length],
        value=content[1 + key_length :],
    )
