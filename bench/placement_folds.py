"""Time and memory of the folds at 1,000 nodes, and the size of their records."""

import dataclasses
import pathlib
import time
import tracemalloc

from bench.placement_fleet import THOUSAND, make_view
from papayatack.core.config_fold import ConfigFold
from papayatack.core.ownership.fold import apply_record
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.placement import PlacementLimits, plan_placement
from papayatack.core.records import OwnershipRecord, Publish
from papayatack.wire.records import encode_record
from tests.core.placement.folded import FoldedFleet

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
BATCH = 256
PUBLICATIONS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoldFigures:
    """What folding a stream costs.

    Attributes:
        stream: The stream's content.
        records: Number of records.
        entries: Number of shards or publications in them.
        microseconds: Processor time for one entry.
        state_mib: Memory of the folded state.
        record_bytes: Mean size of a record in the log.
        entry_bytes: Mean size of an entry in the log.
    """

    stream: str
    records: int
    entries: int
    microseconds: float
    state_mib: float
    record_bytes: float
    entry_bytes: float


def measure_ownership(nodes: int) -> FoldFigures:
    """Measure the first assignment of a whole fleet."""
    size = dataclasses.replace(THOUSAND, nodes=nodes, shards=24 * nodes)
    fleet = FoldedFleet(make_view(size))
    planned = plan_placement(
        fleet.read_view(), limits=PlacementLimits(max_repairs=size.shards)
    )
    fleet.assign(planned, batch=BATCH)
    fleet.activate()
    started = time.process_time()
    _fold_all(fleet.records)
    duration_s = time.process_time() - started
    tracemalloc.start()
    state = _fold_all(fleet.records)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del state
    total = sum(len(encode_record(record)) for record in fleet.records)
    return FoldFigures(
        stream=f"ownership, {nodes} nodes",
        records=len(fleet.records),
        entries=size.shards,
        microseconds=1e6 * duration_s / size.shards,
        state_mib=memory / 2**20,
        record_bytes=total / len(fleet.records),
        entry_bytes=total / size.shards,
    )


def _fold_all(records: list[OwnershipRecord]) -> OwnershipState:
    state = OwnershipState()
    for offset, record in enumerate(records):
        apply_record(state, offset, record)
    return state


def measure_publications() -> FoldFigures:
    """Measure publications of the larger example, each changed a little."""
    folder = EXAMPLES / "barranquilla"
    inventory = (folder / "inventory.toml").read_text(encoding="utf-8")
    rules = (folder / "rules.toml").read_text(encoding="utf-8")
    records = [
        Publish(
            record_id=f"{number:032x}",
            writer="bench",
            base_version=number,
            inventory=inventory.replace("slots = 14", f"slots = {14 + number % 7}"),
            rules=rules,
        )
        for number in range(PUBLICATIONS)
    ]
    config = ConfigFold()
    started = time.process_time()
    for offset, record in enumerate(records):
        config.apply(offset, record)
    duration_s = time.process_time() - started
    if config.version != PUBLICATIONS:
        raise RuntimeError("a publication did not take effect")
    total = sum(len(encode_record(record)) for record in records)
    return FoldFigures(
        stream="publications",
        records=len(records),
        entries=len(records),
        microseconds=1e6 * duration_s / len(records),
        state_mib=len(config.dump()) / 2**20,
        record_bytes=total / len(records),
        entry_bytes=total / len(records),
    )
