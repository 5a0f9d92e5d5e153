"""Models that validate the inventory and rules documents published by operators."""

import math
import tomllib
from typing import Annotated, Any

import pydantic

from papayatack.core.errors import InventoryError
from papayatack.core.inventory import RequestClass

__all__ = [
    "InventoryDocument",
    "RulesDocument",
    "read_inventory",
    "read_rules",
]

MAX_KEY_LENGTH = 512
MAX_SHARDS = 32_768
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_ENTRIES = 1_000

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"),
]
HeaderName = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9-]{0,62}$")
]
Prefix = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^(/|(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+)$", max_length=200
    ),
]
KeyBound = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[^\x00-\x1f\x7f]*$", max_length=MAX_KEY_LENGTH
    ),
]
Method = Annotated[str, pydantic.StringConstraints(pattern=r"^[A-Z]{1,20}$")]


class _Table(pydantic.BaseModel):
    """A TOML table that rejects unknown fields and values of another type."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class PlaceTable(_Table):
    """A data centre."""

    name: Name
    region: Name


class KeyTable(_Table):
    """Where a request carries its key."""

    path_segment: Annotated[int, pydantic.Field(ge=1, le=32)] | None = None
    header: HeaderName | None = None
    query: Name | None = None

    @pydantic.model_validator(mode="after")
    def _check_one_source(self) -> "KeyTable":
        sources = (self.path_segment, self.header, self.query)
        if sum(source is not None for source in sources) != 1:
            raise ValueError("give exactly one of path_segment, header and query")
        return self


class KeyRangeTable(_Table):
    """A range of keys."""

    name: Name
    low: KeyBound = ""
    high: KeyBound | None = None
    shards: Annotated[int, pydantic.Field(ge=1, le=MAX_SHARDS)] = 16
    retired: bool = False


class ServiceTable(_Table):
    """A service and the limits of each of its instances."""

    name: Name
    prefix: Prefix
    places: Annotated[list[Name], pydantic.Field(min_length=1, max_length=MAX_ENTRIES)]
    key: KeyTable | None = None
    key_ranges: Annotated[
        list[KeyRangeTable], pydantic.Field(max_length=MAX_ENTRIES)
    ] = []
    checks_grants: bool
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, pydantic.Field(ge=1, le=MAX_CONNECTIONS)]
    deadline_s: Annotated[
        float, pydantic.Field(ge=0.05, le=3600, allow_inf_nan=False)
    ] = 10.0


class InventoryDocument(_Table):
    """The inventory document: data centres, services and their key ranges."""

    places: Annotated[
        list[PlaceTable], pydantic.Field(min_length=1, max_length=MAX_ENTRIES)
    ]
    services: Annotated[
        list[ServiceTable], pydantic.Field(min_length=1, max_length=MAX_ENTRIES)
    ]


class PartnerTable(_Table):
    """A customer organisation and its share of the capacity."""

    name: Name
    weight: Annotated[float, pydantic.Field(ge=0.001, le=1000, allow_inf_nan=False)] = (
        1.0
    )


class RequestTable(_Table):
    """A rule that classifies requests of a service; the first matching rule applies."""

    service: Name
    methods: Annotated[list[Method], pydantic.Field(max_length=20)] = []
    path: Annotated[str, pydantic.Field(min_length=1)] = ".*"
    repeatable: bool = False
    request_class: Annotated[str, pydantic.Field(alias="class")] = "browse"
    cost: Annotated[float, pydantic.Field(ge=0.01, le=1000, allow_inf_nan=False)] = 1.0

    @pydantic.field_validator("request_class")
    @classmethod
    def _check_class(cls, value: str) -> str:
        known = [str(m) for m in RequestClass if m is not RequestClass.CALL]
        if value not in known:
            raise ValueError(f"not a class; use one of {', '.join(known)}")
        return value


class LocalityTable(_Table):
    """Prefers one data centre, near the callers, for the owners of a key range."""

    service: Name
    key_range: Name
    place: Name


class RulesDocument(_Table):
    """The rules document: partners, request classes and localities."""

    partner_header: HeaderName = "X-Partner"
    partners: Annotated[list[PartnerTable], pydantic.Field(max_length=MAX_ENTRIES)] = []
    requests: Annotated[list[RequestTable], pydantic.Field(max_length=MAX_ENTRIES)] = []
    localities: Annotated[
        list[LocalityTable], pydantic.Field(max_length=MAX_ENTRIES)
    ] = []


def read_inventory(text: str) -> InventoryDocument:
    """Parse and validate an inventory document.

    Raises:
        InventoryError: The document is invalid; lists all errors found.
    """
    return _read(InventoryDocument, text, "inventory")


def read_rules(text: str) -> RulesDocument:
    """Parse and validate a rules document.

    Raises:
        InventoryError: The document is invalid; lists all errors found.
    """
    return _read(RulesDocument, text, "rules")


def _read(model: type[pydantic.BaseModel], text: str, document: str) -> Any:
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise InventoryError(f"{document}: not valid TOML: {error}") from error
    try:
        return model.model_validate(table)
    except pydantic.ValidationError as error:
        faults = [_describe_fault(document, table, fault) for fault in error.errors()]
        raise InventoryError(*faults) from error


def _describe_fault(document: str, table: dict, fault: Any) -> str:
    message = fault["msg"].removeprefix("Value error, ")
    location = _describe_location(document, table, fault["loc"])
    if fault["type"] in ("missing", "extra_forbidden"):
        return f"{location}: {_FIELD_REMEDIES[fault['type']]}"
    return f"{location}: {message}{_format_value(fault['input'])}"


_FIELD_REMEDIES = {
    "missing": "missing; add it",
    "extra_forbidden": "not a known field; remove it or correct its spelling",
}


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return f" (found {value[:40]!r})"
    if isinstance(value, bool | float) or _is_small_integer(value):
        return f" (found {value})"
    return ""


def _is_small_integer(value: object) -> bool:
    return isinstance(value, int) and math.log2(abs(value) + 1) < 64


def _describe_location(document: str, table: Any, location: tuple) -> str:
    """Return the path of a field, with the name of each table in a list."""
    text = document
    for part in location:
        if isinstance(part, int):
            table = table[part] if isinstance(table, list) else None
            name = table.get("name") if isinstance(table, dict) else None
            text += f"[{part + 1}]"
            text += f" ({name[:40]})" if isinstance(name, str) else ""
        else:
            table = table.get(part) if isinstance(table, dict) else None
            text += f": {part}" if text == document else f".{part}"
    return text
