"""Pauses of the garbage collector, which hold up every request of a process."""

import gc

__all__ = ["shorten_collector_pauses"]

FULL_COLLECTION_THRESHOLD = 100


def shorten_collector_pauses() -> None:
    """Exempt what exists now from collection, and make full collections rarer.

    To be called once, when the process has imported and built what it keeps until its
    end. A full collection walks all live objects, most of which are modules, classes
    and functions that never become garbage.
    """
    gc.collect()
    gc.freeze()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, FULL_COLLECTION_THRESHOLD)
