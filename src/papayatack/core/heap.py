"""A priority queue whose entries can change priority or be removed."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["KeyedHeap"]

Key = TypeVar("Key", bound=Hashable)

STALE_ALLOWANCE = 64
"""Stale entries tolerated beyond the number of live ones before the heap is rebuilt."""


class KeyedHeap(Generic[Key]):
    """A min-heap with one entry per key; equal priorities are in insertion order.

    Replaced and removed entries stay in the heap until they reach its top or outnumber
    the live entries. Thus every operation takes amortized O(log n) time, and memory
    stays proportional to the number of live entries.
    """

    __slots__ = ("_entries", "_heap", "_sequence")

    def __init__(self) -> None:
        self._entries: dict[Key, tuple[float, int, Key]] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def stored(self) -> int:
        """Number of entries in memory, including stale ones."""
        return len(self._heap)

    def put(self, key: Key, priority: float) -> None:
        """Add ``key``, or change its priority if it is present."""
        self._sequence += 1
        entry = (priority, self._sequence, key)
        self._entries[key] = entry
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 2 * len(self._entries) + STALE_ALLOWANCE:
            self._heap = list(self._entries.values())
            heapq.heapify(self._heap)

    def remove(self, key: Key) -> None:
        """Remove ``key`` if it is present."""
        self._entries.pop(key, None)

    def list_keys(self) -> list[Key]:
        """Return all keys, in the order in which they were added."""
        return list(self._entries)

    def peek(self) -> tuple[float, Key] | None:
        """Return the smallest priority and its key, or ``None`` if empty."""
        while self._heap:
            entry = self._heap[0]
            if self._entries.get(entry[2]) is entry:
                return entry[0], entry[2]
            heapq.heappop(self._heap)
        return None
