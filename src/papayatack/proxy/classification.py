"""Classification of requests by service, key, rule, partner and deadline."""

import dataclasses
import re
import secrets
import urllib.parse
from typing import Protocol

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.inventory import (
    Configuration,
    KeySource,
    RequestRule,
    Service,
)
from papayatack.network.exchanges import PeerRequest, Request, find_header
from papayatack.proxy.headers import DEADLINE_HEADER, clean_request_headers

__all__ = ["Classifier", "RequestClassifier"]

MS_PER_S = 1000
REQUEST_ID_BYTES = 16
IDEMPOTENCY_HEADER = b"idempotency-key"
_DEFAULT_RULE = RequestRule()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CompiledRule:
    """A request rule with its path pattern compiled."""

    rule: RequestRule
    methods: frozenset[bytes]
    path: re.Pattern[str]

    def matches(self, method: bytes, path: str) -> bool:
        """Tell whether the rule applies to a method and a path."""
        if self.methods and method not in self.methods:
            return False
        return self.path.fullmatch(path) is not None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CompiledService:
    """A service with its request rules compiled."""

    service: Service
    prefix: str
    rules: tuple[_CompiledRule, ...]

    def covers(self, path: str) -> bool:
        """Tell whether the path equals the prefix or lies below it."""
        prefix = self.prefix
        return path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in "/"

    def find_rule(self, method: bytes, path: str) -> RequestRule:
        """Return the first matching rule, or the default, which is the strictest."""
        for compiled in self.rules:
            if compiled.matches(method, path):
                return compiled.rule
        return _DEFAULT_RULE


class _ClassificationError(Exception):
    """Raised within this module when a request must be refused."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.refusal = Refusal(kind=kind, detail=detail)


class RequestClassifier(Protocol):
    """Classifies requests according to one configuration."""

    def classify(self, request: Request) -> Result[PeerRequest, Refusal]:
        """Return the request with its routing and admission attributes."""

    def is_repeatable(self, request: Request) -> bool:
        """Return whether the request may run more than once."""


class Classifier:
    """Classifies requests by path prefix according to one configuration.

    Rules are matched and keys are read on the percent-decoded path, as the upstream
    sees it, so that percent-encoding a path cannot select another rule or owner.

    Args:
        configuration: The configuration with the services and partners.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self.configuration = configuration
        compiled = [_compile_service(service) for service in configuration.services]
        self._services = sorted(compiled, key=lambda service: -len(service.prefix))
        self._partners = frozenset(partner.name for partner in configuration.partners)
        self._partner_header = configuration.partner_header.lower().encode()

    def classify(self, request: Request) -> Result[PeerRequest, Refusal]:
        """Return the request with its routing and admission attributes."""
        try:
            return Success(self._classify(request))
        except _ClassificationError as error:
            return Failure(error.refusal)

    def is_repeatable(self, request: Request) -> bool:
        """Return whether the request may run more than once."""
        try:
            path, _ = _split_target(request.target)
            compiled = self._find_service(path)
        except _ClassificationError:
            return False
        subpath = path[len(compiled.prefix) :]
        return compiled.find_rule(request.method, subpath).repeatable

    def _classify(self, request: Request) -> PeerRequest:
        path, query = _split_target(request.target)
        compiled = self._find_service(path)
        service = compiled.service
        subpath = path[len(compiled.prefix) :]
        rule = compiled.find_rule(request.method, subpath)
        key = ""
        if service.key is not None:
            key = _read_key(service.key, request, subpath, query)
        idempotency = find_header(request.headers, IDEMPOTENCY_HEADER) or b""
        return PeerRequest(
            request=Request(
                method=request.method,
                target=request.target,
                headers=clean_request_headers(request.headers),
                body=request.body,
                received=request.received,
            ),
            service=service.name,
            shard="",
            key=key,
            remaining_s=_read_remaining_s(request, service.deadline_s),
            partner=self._read_partner(request),
            request_class=rule.request_class,
            cost=rule.cost,
            repeatable=rule.repeatable,
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            idempotency_key=idempotency.decode("latin-1"),
        )

    def _find_service(self, path: str) -> _CompiledService:
        for compiled in self._services:
            if compiled.covers(path):
                return compiled
        raise _ClassificationError(
            ErrorKind.NO_SUCH_SERVICE, "no service matches this path"
        )

    def _read_partner(self, request: Request) -> str:
        value = find_header(request.headers, self._partner_header) or b""
        name = value.decode("latin-1")
        return name if name in self._partners else ""


def _compile_service(service: Service) -> _CompiledService:
    rules = tuple(
        _CompiledRule(
            rule=rule,
            methods=frozenset(method.encode() for method in rule.methods),
            path=re.compile(rule.path),
        )
        for rule in service.request_rules
    )
    return _CompiledService(
        service=service, prefix=service.prefix.rstrip("/"), rules=rules
    )


def _split_target(target: bytes) -> tuple[str, str]:
    """Return the decoded path and the raw query of a request target.

    The target is in origin form or absolute form.
    """
    raw_path, _, query = target.decode("latin-1").partition("?")
    if not raw_path.startswith("/"):
        raw_path = urllib.parse.urlsplit(raw_path).path
    path = urllib.parse.unquote(raw_path) if "%" in raw_path else raw_path
    if "/." in path and {".", ".."} & set(path.split("/")):
        raise _ClassificationError(
            ErrorKind.MALFORMED_REQUEST, "the path contains dot segments"
        )
    return path, query


def _read_key(source: KeySource, request: Request, subpath: str, query: str) -> str:
    """Return the key; a request with several keys is refused as ambiguous."""
    if source.kind == "path":
        segments = subpath.split("/")
        index = int(source.name)
        values = segments[index : index + 1]
    elif source.kind == "query":
        values = urllib.parse.parse_qs(query).get(source.name, [])
    else:
        name = source.name.lower().encode()
        values = [
            value.decode("latin-1")
            for field_name, value in request.headers
            if field_name == name
        ]
    if len(values) != 1 or not values[0]:
        detail = f"expected exactly one key in {source.kind} {source.name}"
        raise _ClassificationError(ErrorKind.KEY_MISSING, detail)
    return values[0]


def _read_remaining_s(request: Request, max_s: float) -> float:
    """Return the time left for the request in seconds, at most ``max_s``."""
    value = find_header(request.headers, DEADLINE_HEADER)
    if value is None:
        return max_s
    if not value.isdigit():
        detail = "Papayatack-Deadline-Ms is not a whole number"
        raise _ClassificationError(ErrorKind.MALFORMED_REQUEST, detail)
    return min(int(value) / MS_PER_S, max_s)
