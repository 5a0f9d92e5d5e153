"""Tests of papayatack.core.heap."""

import unittest

from papayatack.core.heap import KeyedHeap


class KeyedHeapTests(unittest.TestCase):
    """Order, replacement and memory."""

    def test_replaced_priority_counts(self):
        """The newest priority of a key decides; equal ones keep their order."""
        heap = KeyedHeap()
        heap.put("a", 1.0)
        heap.put("b", 2.0)
        heap.put("a", 2.0)
        self.assertEqual(heap.peek(), (2.0, "b"))
        heap.remove("b")
        self.assertEqual(heap.peek(), (2.0, "a"))
        heap.remove("a")
        self.assertIsNone(heap.peek())

    def test_memory_follows_live_entries(self):
        """Entries that are replaced a thousand times take no more memory."""
        heap = KeyedHeap()
        for number in range(10_000):
            heap.put(number % 10, float(number))
        self.assertEqual(len(heap), 10)
        self.assertLessEqual(heap.stored, 100)
