"""Tests of papayatack.core.heap."""

import unittest

from papayatack.core.heap import KeyedHeap


class KeyedHeapTests(unittest.TestCase):
    """Order, replacement and memory use of KeyedHeap."""

    def test_latest_priority_of_key_is_used(self):
        """The latest priority of a key applies; equal ones stay in insertion order."""
        heap = KeyedHeap()
        heap.put("a", 1.0)
        heap.put("b", 2.0)
        heap.put("a", 2.0)
        self.assertEqual(heap.peek(), (2.0, "b"))
        heap.remove("b")
        self.assertEqual(heap.peek(), (2.0, "a"))
        heap.remove("a")
        self.assertIsNone(heap.peek())

    def test_memory_is_proportional_to_live_entries(self):
        """Replacing each entry a thousand times does not grow the heap."""
        heap = KeyedHeap()
        for number in range(10_000):
            heap.put(number % 10, float(number))
        self.assertEqual(len(heap), 10)
        self.assertLessEqual(heap.stored, 100)
