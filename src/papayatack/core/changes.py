"""Validates and describes the change from one configuration to the next."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from papayatack.core.inventory import Configuration, KeyRange, Service

__all__ = ["check_change", "describe_difference"]


def check_change(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return the reasons why ``new`` may not follow ``old``; empty if it may.

    A change must neither remove keys from an active range nor move a key to another
    range. Nodes adopt a change at different times, so two nodes could own the same key
    in the meantime.
    """
    return tuple(_find_errors(old, new))


def _find_errors(old: Configuration, new: Configuration) -> Iterator[str]:
    services = {service.name: service for service in new.services}
    for service in old.services:
        successor = services.get(service.name)
        if successor is None:
            yield from _check_removal(service)
        else:
            yield from _check_ranges(service, successor)


def _check_removal(service: Service) -> Iterator[str]:
    for key_range in service.key_ranges:
        if not key_range.retired:
            yield (
                f"service {service.name}: removed while its range {key_range.name} is"
                " in use; publish the range with retired = true first"
            )


def _check_ranges(old: Service, new: Service) -> Iterator[str]:
    successors = {key_range.name: key_range for key_range in new.key_ranges}
    for key_range in old.key_ranges:
        location = f"service {old.name}, range {key_range.name}"
        successor = successors.get(key_range.name)
        if successor is None:
            yield from _check_range_removal(key_range, location)
        else:
            yield from _check_range_change(key_range, successor, location)
    for one in old.key_ranges:
        for other in new.key_ranges:
            if one.name != other.name and _overlap(one, other):
                yield (
                    f"service {old.name}, range {other.name}: takes keys of range"
                    f" {one.name} in force; retire {one.name}, then remove it,"
                    f" then publish {other.name}, one change at a time"
                )


def _check_range_removal(key_range: KeyRange, location: str) -> Iterator[str]:
    if not key_range.retired:
        yield f"{location}: removed while in use; publish it with retired = true first"


def _check_range_change(old: KeyRange, new: KeyRange, location: str) -> Iterator[str]:
    if old.shards != new.shards:
        yield (
            f"{location}: shards cannot change from {old.shards} to {new.shards}, as"
            " its keys would fall into other shards; keep the number"
        )
    if old.retired:
        return
    if new.low > old.low:
        yield (
            f"{location}: low rises from {old.low!r} to {new.low!r}, which leaves keys"
            " without an owner; keep it or lower it"
        )
    if _end_key(new) < _end_key(old):
        yield (
            f"{location}: high falls from {old.high!r} to {new.high!r}, which leaves"
            " keys without an owner; keep it or raise it"
        )


def _end_key(key_range: KeyRange) -> tuple[bool, str]:
    return key_range.high is None, key_range.high or ""


def _overlap(one: KeyRange, other: KeyRange) -> bool:
    starts_before_end = other.high is None or one.low < other.high
    ends_after_start = one.high is None or other.low < one.high
    return starts_before_end and ends_after_start


def describe_difference(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return one line for each difference, using the field names of the documents."""
    return tuple(_describe_object("", old, new))


def _describe_object(location: str, old: Any, new: Any) -> Iterator[str]:
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after or field.name == "version":
            continue
        if isinstance(before, tuple) and isinstance(after, tuple):
            yield from _describe_list(f"{location}{field.name}", before, after)
        else:
            yield f"{location}{field.name}: {_format(before)} -> {_format(after)}"


def _describe_list(location: str, old: tuple, new: tuple) -> Iterator[str]:
    before = {_label_entry(entry, number): entry for number, entry in enumerate(old, 1)}
    after = {_label_entry(entry, number): entry for number, entry in enumerate(new, 1)}
    for label, entry in before.items():
        if label not in after:
            yield f"{location} {label}: removed"
        elif dataclasses.is_dataclass(entry):
            yield from _describe_object(f"{location} {label}: ", entry, after[label])
    for label in after:
        if label not in before:
            yield f"{location} {label}: added"
    if list(before) != list(after) and sorted(before) == sorted(after):
        yield f"{location}: order changed"


def _label_entry(entry: Any, number: int) -> str:
    """Return a label by which an entry of a list is matched to its other version."""
    if isinstance(entry, str):
        return entry
    name = getattr(entry, "name", None)
    if name is not None:
        return name
    key_range = getattr(entry, "key_range", None)
    if key_range is not None:
        return f"{entry.service}/{key_range}"
    return str(number)


def _format(value: Any) -> str:
    if dataclasses.is_dataclass(value):
        parts = (
            f"{f.name} {getattr(value, f.name)}" for f in dataclasses.fields(value)
        )
        return ", ".join(parts)
    return repr(value)
