"""Composes config records from the operators' manifest and evacuation orders.

The operators keep one record with the manifest and one for each evacuated data centre.
Nodes get both in one record, so that an order has all that a manifest has: it is in
force on every node within the same time, and its age is known.
"""

import json
from collections.abc import Iterable

from papayatack.observability.metrics import Metrics
from papayatack.platform.topics import StoreRecord, TopicPage

__all__ = ["EVACUATED_FIELD", "ConfigComposer"]

MANIFEST_KEY = b"config"
ORDER_PREFIX = b"evacuate/"
EVACUATED_FIELD = "papayatack-evacuated"
"""Field of a config record with the names of the evacuated data centres. Manifests do
not use it; a node of an earlier version ignores it."""

MAX_ORDERS = 1_000
"""Number of data centres whose orders are kept; further ones are ignored."""


class ConfigComposer:
    """The newest manifest and the evacuated data centres, from the operators' records.

    Args:
        metrics: Counts ``evacuations_ignored`` by reason.

    Attributes:
        end: Offset in the store before which all records are taken in; -1 if unknown.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.end = 0
        self._manifest = b""
        self._evacuated: set[str] = set()
        self._metrics = metrics

    def is_relevant(self, record: StoreRecord) -> bool:
        """Return whether a record is a manifest or names a data centre."""
        return record.key == MANIFEST_KEY or bool(_read_name(record.key))

    def load(self, page: TopicPage) -> int:
        """Take in the newest record of each key; return the offset of the result.

        A removed record has left no trace, so that any offset without a visible record
        may have been one.
        """
        self._manifest = b""
        self._evacuated.clear()
        newest = page.newest or ()
        for record in newest:
            self._add(record)
        self.end = page.end_before
        foreign = {item.offset for item in newest if not self.is_relevant(item)}
        offset = self.end - 1
        while offset in foreign:
            offset -= 1
        return max(offset, 0)

    def add(self, records: Iterable[StoreRecord]) -> int | None:
        """Take in further records; return the offset of the last relevant one."""
        newest = None
        for record in records:
            if record.offset < self.end:
                continue
            self.end = record.offset + 1
            if self._add(record):
                newest = record.offset
        return newest

    def compose(self) -> bytes:
        """Return the config record, empty while there is no manifest.

        Without an evacuation it is the manifest.
        """
        manifest = self._manifest
        if not self._evacuated or not manifest.lstrip().startswith(b"{"):
            return manifest
        names = json.dumps(sorted(self._evacuated), ensure_ascii=False)
        field = f'{{"{EVACUATED_FIELD}":{names}'.encode()
        fields = manifest.lstrip()[1:]
        separator = b"" if fields.lstrip().startswith(b"}") else b","
        return field + separator + fields

    def _add(self, record: StoreRecord) -> bool:
        if record.key == MANIFEST_KEY:
            self._manifest = record.value or self._manifest
            return bool(record.value)
        if not record.key.startswith(ORDER_PREFIX):
            return False
        name = _read_name(record.key)
        if not name:
            self._metrics.count("evacuations_ignored", "malformed")
            return False
        if not record.value:
            self._evacuated.discard(name)
        elif name in self._evacuated or len(self._evacuated) < MAX_ORDERS:
            self._evacuated.add(name)
        else:
            self._metrics.count("evacuations_ignored", "too-many")
        return True


def _read_name(key: bytes) -> str:
    """Return the data centre that the key of an order names, empty if there is none."""
    if not key.startswith(ORDER_PREFIX):
        return ""
    try:
        name = key.removeprefix(ORDER_PREFIX).decode()
    except UnicodeDecodeError:
        return ""
    return name if name.isprintable() and not name.isspace() else ""
