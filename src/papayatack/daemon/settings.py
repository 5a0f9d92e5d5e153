"""Settings of the daemon: an INI file, validated whole before anything starts."""

import configparser
import ipaddress
import pathlib
from typing import Annotated, Literal

import pydantic

from papayatack.core.errors import SettingsError

__all__ = [
    "LimitSettings",
    "ListenSettings",
    "LogServiceSettings",
    "LoggingSettings",
    "NodeSettings",
    "Settings",
    "parse_settings",
    "read_file",
    "read_settings",
    "split_sections",
]

HIGHEST_PORT = 65535
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"
LEVEL_PATTERN = r"^(DEBUG|INFO|WARNING|ERROR)$"


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("write it as <ip>:<port>, such as 10.0.0.5:7000")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        detail = f"{host!r} is not an IP number; host names are not used"
        raise ValueError(detail) from None
    if not port.isdecimal() or int(port) > HIGHEST_PORT:
        raise ValueError(f"{port!r} is not a port; use 0 to {HIGHEST_PORT}")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]


class _Section(pydantic.BaseModel):
    """A section of the file; keys that it does not know are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class NodeSettings(_Section):
    """Where this node runs.

    Attributes:
        data_centre: Name of the data centre, as in the inventory.
        region: Name of the region, as in the inventory.
    """

    data_centre: Name
    region: Name


class ListenSettings(_Section):
    """Addresses on which the daemon listens; port 0 takes a free port.

    Attributes:
        callers: HTTP requests of callers.
        peers: Other nodes. Reachable by nodes only.
        operators: The operators' endpoint. Reachable by operators only.
        upstream: Announcements of the upstream beside this node.
        readiness: Questions whether callers should come here; empty for none.
    """

    callers: Address
    peers: Address
    operators: Address
    upstream: Address = "127.0.0.1:0"
    readiness: Address | Literal[""] = ""


class LogServiceSettings(_Section):
    """The platform's log service.

    Attributes:
        address: Its ``<ip>:<port>``.
        timeout_s: Seconds after which a call counts as unanswered.
        retention_s: Seconds for which the service keeps records.
    """

    address: Address
    timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    retention_s: float = pydantic.Field(default=86_400.0, ge=60)


class LimitSettings(_Section):
    """Bounds that protect the process.

    Attributes:
        header_bytes: Longest request header.
        body_bytes: Longest request body.
        caller_connections: Callers' connections at once.
        side_connections: Connections at once at each of the other ports for HTTP.
        held_bytes: Bytes of request bodies that are held for all callers together.
        idle_timeout_s: Seconds for which a quiet connection is kept.
        header_timeout_s: Seconds within which a request's header must arrive.
        pipelined_requests: Requests of one connection in flight at once.
        pipelined_bytes: Bytes of one connection's responses that wait for their turn.
        drain_timeout_s: Seconds of a graceful shutdown, after its notice, in which
            what is in flight may end.
        drain_notice_s: Seconds at its beginning in which callers are served as ever.
        upstream_drain_s: Seconds for which a leaving upstream still gets requests.
        cold_overrun: Ratio of the requests that a cold upstream may get in any second
            to those that its service names.
        cold_slack: Requests that it may get in any second beyond that.
    """

    header_bytes: int = pydantic.Field(default=16_384, ge=1_024, le=1_048_576)
    body_bytes: int = pydantic.Field(default=67_108_864, ge=0)
    caller_connections: int = pydantic.Field(default=2_000, ge=1)
    side_connections: int = pydantic.Field(default=200, ge=1)
    held_bytes: int = pydantic.Field(default=67_108_864, ge=1_048_576)
    idle_timeout_s: float = pydantic.Field(default=60.0, gt=0)
    header_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    pipelined_requests: int = pydantic.Field(default=16, ge=1, le=1_024)
    pipelined_bytes: int = pydantic.Field(default=262_144, ge=1)
    drain_timeout_s: float = pydantic.Field(default=30.0, gt=0)
    drain_notice_s: float = pydantic.Field(default=0.0, ge=0)
    upstream_drain_s: float = pydantic.Field(default=2.0, ge=0)
    cold_overrun: float = pydantic.Field(default=1.0, gt=0)
    cold_slack: float = pydantic.Field(default=0.0, ge=0)


class LoggingSettings(_Section):
    """The daemon's own log, JSON lines on standard error.

    Attributes:
        level: Lowest level that is written.
    """

    level: Annotated[str, pydantic.StringConstraints(pattern=LEVEL_PATTERN)] = "INFO"


class Settings(_Section):
    """All sections of the settings file."""

    node: NodeSettings
    listen: ListenSettings
    log: LogServiceSettings
    limits: LimitSettings = LimitSettings()
    logging: LoggingSettings = LoggingSettings()


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: If the file is missing or has faults; it names them all.
    """
    return parse_settings(read_file(path), source=path)


def read_file(path: str) -> str:
    """Return the text of a settings file.

    Raises:
        SettingsError: If it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        detail = f"{path}: cannot be read ({error}); check the path"
        raise SettingsError(detail) from error


def split_sections(text: str, *, source: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI file with their keys, whose case counts.

    Raises:
        SettingsError: If the text is no INI file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        raise SettingsError(f"{source}: not an INI file: {error}") from error
    return {name: dict(parser[name]) for name in parser.sections()}


def parse_settings(text: str, *, source: str = "settings") -> Settings:
    """Validate the text of a settings file.

    Raises:
        SettingsError: If it has faults; the message names them all.
    """
    document = split_sections(text, source=source)
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as error:
        raise SettingsError(_format_faults(source, error)) from None


def _format_faults(source: str, error: pydantic.ValidationError) -> str:
    faults = [_format_fault(fault) for fault in error.errors()]
    return "\n".join(f"{source}: {fault}" for fault in faults)


def _format_fault(fault: dict) -> str:
    place = [str(part) for part in fault["loc"]]
    section = f"[{place[0]}]"
    where = f"{section} {place[1]}" if len(place) > 1 else section
    match fault["type"]:
        case "missing" if len(place) == 1:
            return f"{section}: this section is missing; add it"
        case "missing":
            return f"{where}: this key is missing; add it"
        case "extra_forbidden":
            return f"{where}: not known; {_suggest(place)}"
    return f"{where}: {fault['msg'].removeprefix('Value error, ')}"


def _suggest(place: list[str]) -> str:
    model: type[pydantic.BaseModel] = Settings
    if len(place) > 1:
        model = Settings.model_fields[place[0]].annotation
    known = list(model.model_fields)
    # Imported where it is used: most settings are valid.
    import difflib

    near = difflib.get_close_matches(place[-1], known, n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    return f"remove it, or use one of {', '.join(known)}"
