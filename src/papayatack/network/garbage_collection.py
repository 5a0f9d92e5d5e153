"""Garbage collector tuning: its pauses delay every request of the process."""

import gc

__all__ = ["shorten_collector_pauses"]

FULL_COLLECTION_THRESHOLD = 100
"""Collections of the middle generation between full collections."""


def shorten_collector_pauses() -> None:
    """Exempt existing objects from collection, and make full collections rarer.

    Call this once, after the process has imported its modules and built its long-lived
    objects. A full collection traverses all live objects, most of which are modules,
    classes and functions that never become garbage.
    """
    gc.collect()
    gc.freeze()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, FULL_COLLECTION_THRESHOLD)
