"""Parses and validates inventory and rules documents.

The fold of the config stream calls these functions on every node, so their results must
depend only on their arguments.
"""

import itertools
import json
from collections import Counter
from collections.abc import Iterable, Iterator

from papayatack.core.documents import (
    InventoryDocument,
    KeyTable,
    RequestTable,
    RulesDocument,
    ServiceTable,
    read_inventory,
    read_rules,
)
from papayatack.core.errors import InventoryError
from papayatack.core.inventory import (
    Configuration,
    KeyRange,
    KeySource,
    LocalityRule,
    Partner,
    Place,
    RequestClass,
    RequestRule,
    Service,
)
from papayatack.core.path_pattern import check_path_pattern

__all__ = ["list_warnings", "parse_configuration"]

MAX_TOTAL_SHARDS = 100_000
MAX_PUBLICATION_BYTES = 240 * 1024
"""Maximum size of both documents, encoded as JSON in one record of the log."""


def parse_configuration(inventory: str, rules: str, *, version: int) -> Configuration:
    """Return the configuration that two TOML documents describe.

    Args:
        inventory: The inventory document.
        rules: The rules document; may be empty.
        version: The version of the resulting configuration.

    Raises:
        InventoryError: The documents are invalid; lists every error and its location.
    """
    inventory_document, rules_document = _read_documents(inventory, rules)
    faults = [
        *_check_inventory(inventory_document),
        *_check_rules(inventory_document, rules_document),
    ]
    if faults:
        raise InventoryError(*faults)
    return _build(inventory_document, rules_document, version)


def list_warnings(configuration: Configuration) -> tuple[str, ...]:
    """Return a warning for each valid but probably unintended setting."""
    warnings = []
    for service in configuration.services:
        if service.key_ranges and len(service.places) == 1:
            warnings.append(
                f"service {service.name}: runs in only one data centre, so its keys"
                " are not served if that data centre fails; add a second place"
            )
        if not service.request_rules:
            warnings.append(
                f"service {service.name}: has no request rules, so failed requests"
                " are not retried; add [[requests]] to the rules"
            )
    weights = {partner.weight for partner in configuration.partners}
    if len(weights) > 1:
        warnings.append(
            "partners have different weights; omit the weights to treat all equally"
        )
    return tuple(warnings)


def _read_documents(
    inventory: str, rules: str
) -> tuple[InventoryDocument, RulesDocument]:
    faults: list[str] = []
    size = len(json.dumps(inventory)) + len(json.dumps(rules))
    if size > MAX_PUBLICATION_BYTES:
        raise InventoryError(
            f"inventory and rules: {size} bytes in the log together, more than"
            f" {MAX_PUBLICATION_BYTES}; shorten them"
        )
    documents = []
    for read, text in ((read_inventory, inventory), (read_rules, rules)):
        try:
            documents.append(read(text))
        except InventoryError as error:
            faults.extend(error.faults)
    if faults:
        raise InventoryError(*faults)
    return documents[0], documents[1]


def _check_inventory(document: InventoryDocument) -> Iterator[str]:
    yield from _check_unique("inventory: places", (p.name for p in document.places))
    yield from _check_unique("inventory: services", (s.name for s in document.services))
    yield from _check_prefixes(document)
    known = {place.name for place in document.places}
    for service in document.services:
        location = f"inventory: services ({service.name})"
        yield from _check_unique(f"{location}.places", service.places)
        for name in service.places:
            if name not in known:
                yield (
                    f"{location}.places: {name} is not among [[places]]; add it there"
                    " or correct the name"
                )
        yield from _check_key_ranges(service, location)
    total = sum(r.shards for s in document.services for r in s.key_ranges)
    if total > MAX_TOTAL_SHARDS:
        yield (
            f"inventory: services: {total} shards altogether, more than"
            f" {MAX_TOTAL_SHARDS}; use fewer shards"
        )


def _check_unique(location: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{location}: {name} stands {count} times; names must be unique"


def _check_prefixes(document: InventoryDocument) -> Iterator[str]:
    for one, other in itertools.permutations(document.services, 2):
        inside = other.prefix.startswith(one.prefix.rstrip("/") + "/")
        if inside and one.prefix != other.prefix:
            yield (
                f"inventory: services ({other.name}).prefix: {other.prefix} lies within"
                f" {one.prefix} of service {one.name}; use separate prefixes"
            )
    for one, other in itertools.combinations(document.services, 2):
        if one.prefix == other.prefix:
            yield (
                f"inventory: services ({other.name}).prefix: {other.prefix} is also the"
                f" prefix of service {one.name}; use separate prefixes"
            )


def _check_key_ranges(service: ServiceTable, location: str) -> Iterator[str]:
    ranges = service.key_ranges
    if ranges and service.key is None:
        yield f"{location}.key: missing; say where a request carries its key"
    if service.key is not None and not ranges:
        yield f"{location}.key_ranges: missing; add a range, or remove the key"
    yield from _check_unique(f"{location}.key_ranges", (r.name for r in ranges))
    for key_range in ranges:
        if key_range.high is not None and key_range.high <= key_range.low:
            yield (
                f"{location}.key_ranges ({key_range.name}): empty, as high"
                f" {key_range.high!r} is not above low {key_range.low!r}; keys compare"
                " as strings"
            )
    ordered = sorted(ranges, key=lambda r: r.low)
    for one, other in itertools.pairwise(ordered):
        if one.high is None or one.high > other.low:
            yield (
                f"{location}.key_ranges ({other.name}): overlaps {one.name}; end"
                f" {one.name} at {other.low!r} or before"
            )


def _check_rules(inventory: InventoryDocument, rules: RulesDocument) -> Iterator[str]:
    services = {service.name: service for service in inventory.services}
    yield from _check_unique("rules: partners", (p.name for p in rules.partners))
    for number, request in enumerate(rules.requests, start=1):
        location = f"rules: requests[{number}]"
        if request.service not in services:
            yield f"{location}.service: {request.service} is not a service"
        problem = check_path_pattern(request.path)
        if problem:
            yield f"{location}.path: {problem}; use a simpler pattern"
    yield from _check_localities(services, rules)


def _check_localities(
    services: dict[str, ServiceTable], rules: RulesDocument
) -> Iterator[str]:
    yield from _check_unique(
        "rules: localities",
        (f"{rule.service}/{rule.key_range}" for rule in rules.localities),
    )
    for number, rule in enumerate(rules.localities, start=1):
        location = f"rules: localities[{number}]"
        service = services.get(rule.service)
        if service is None:
            yield f"{location}.service: {rule.service} is not a service"
            continue
        if rule.key_range not in {r.name for r in service.key_ranges}:
            yield (
                f"{location}.key_range: {rule.key_range} is not a range of the service"
            )
        if rule.place not in service.places:
            yield f"{location}.place: the service does not run in {rule.place}"


def _build(
    inventory: InventoryDocument, rules: RulesDocument, version: int
) -> Configuration:
    return Configuration(
        version=version,
        services=tuple(
            _build_service(service, rules.requests) for service in inventory.services
        ),
        places=tuple(
            Place(name=place.name, region=place.region) for place in inventory.places
        ),
        partners=tuple(
            Partner(name=partner.name, weight=partner.weight)
            for partner in rules.partners
        ),
        partner_header=rules.partner_header,
        localities=tuple(
            LocalityRule(
                service=rule.service, key_range=rule.key_range, place=rule.place
            )
            for rule in rules.localities
        ),
    )


def _build_service(service: ServiceTable, requests: list[RequestTable]) -> Service:
    ranges = sorted(service.key_ranges, key=lambda r: r.low)
    return Service(
        name=service.name,
        prefix=service.prefix,
        key=_build_key_source(service.key) if service.key else None,
        key_ranges=tuple(
            KeyRange(
                name=r.name, low=r.low, high=r.high, shards=r.shards, retired=r.retired
            )
            for r in ranges
        ),
        checks_grants=service.checks_grants,
        slots=service.slots,
        connections=service.connections,
        deadline_s=service.deadline_s,
        request_rules=tuple(
            _build_request_rule(request)
            for request in requests
            if request.service == service.name
        ),
        places=tuple(service.places),
    )


def _build_key_source(key: KeyTable) -> KeySource:
    if key.path_segment is not None:
        return KeySource(kind="path", name=str(key.path_segment))
    if key.header is not None:
        return KeySource(kind="header", name=key.header)
    return KeySource(kind="query", name=key.query or "")


def _build_request_rule(request: RequestTable) -> RequestRule:
    return RequestRule(
        methods=tuple(request.methods),
        path=request.path,
        repeatable=request.repeatable,
        request_class=RequestClass(request.request_class),
        cost=request.cost,
    )
