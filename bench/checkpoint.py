"""Cost of a checkpoint of the ownership state, and of a start from it.

Run ``python -m bench.checkpoint``. Each figure is taken for the given size and for half
of it in the same run; the ratio of both is the slope. Times are the least of a few
rounds, on one core.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from absl import app, flags
from tabulate import tabulate

from papayatack.core.checkpoint import CheckpointAssembler, split_document
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.ownership import (
    OwnershipState,
    apply_record,
    dump_state,
    load_state,
)
from papayatack.core.records import (
    OWNERSHIP_STREAM,
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Retire,
)
from papayatack.logservice.bootstrap import load_stream
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record
from standins.logstore import InProcessLog, LogStore

NODES = flags.DEFINE_integer("nodes", 1000, "Nodes.")
SHARDS = flags.DEFINE_integer("shards", 20_000, "Shards.")
SUCCESSORS = flags.DEFINE_integer("successors", 500, "Records after the checkpoint.")
ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds; the least time counts.")

BATCH = 128
WITNESSES = 3
CHAIN = 2
SEED = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What was measured at one size."""

    document_bytes: int
    appended_bytes: int
    chunks: int
    dump_ms: float
    split_ms: float
    assemble_ms: float
    load_ms: float
    bootstrap_ms: float


def list_records(nodes: int, shards: int):
    """Yield the records that make a state of a size."""
    names = [
        IncarnationId(f"10.0.{i // 250}.{i % 250}:7101#{i:08x}") for i in range(nodes)
    ]
    for number, name in enumerate(names):
        yield Announce(
            record_id=f"a{number}",
            writer=name,
            incarnation=name,
            address=PeerAddress(name.split("#")[0]),
            operator_address=name.split("#")[0].replace("7101", "7102"),
            data_centre=f"dc{number % 24}",
            region=f"region{number % 7}",
            service="hiring",
            upstream=name.split("#")[0].replace("7101", "8080"),
            slots=14,
            connections=130,
        )
    leases = [LeaseId(name, 1) for name in names]
    for number, lease in enumerate(leases):
        witnesses = tuple(names[(number + step) % nodes] for step in range(1, 4))
        yield Admit(
            record_id=f"b{number}", writer="w", lease=lease, witnesses=witnesses
        )
    ids = [ShardId(f"hiring/all/{number}") for number in range(shards)]
    rng = random.Random(SEED)
    for start in range(0, shards, BATCH):
        batch = ids[start : start + BATCH]
        assignments = tuple(
            Assignment(
                shard=shard, base_epoch=0, chain=tuple(rng.sample(leases, CHAIN))
            )
            for shard in batch
        )
        yield Assign(record_id=f"c{start}", writer="w", assignments=assignments)
        activations = tuple(
            Activation(shard=item.shard, epoch=1, owner=item.chain[0])
            for item in assignments
        )
        yield Activate(record_id=f"d{start}", writer="w", activations=activations)


def build_state(nodes: int, shards: int) -> OwnershipState:
    """Return a state of a size."""
    state = OwnershipState()
    for offset, record in enumerate(list_records(nodes, shards)):
        apply_record(state, offset, record)
    return state


def measure(action: Callable[[], object]) -> tuple[float, object]:
    """Return the least time in milliseconds, and what the action returned."""
    least_s = float("inf")
    for _ in range(ROUNDS.value):
        started_s = time.perf_counter()
        result = action()
        least_s = min(least_s, time.perf_counter() - started_s)
    return least_s * 1000, result


def measure_size(nodes: int, shards: int) -> Figures:
    """Measure a checkpoint of a size."""
    state = build_state(nodes, shards)
    dump_ms, document = measure(lambda: dump_state(state))
    split_ms, chunks = measure(
        lambda: split_document(
            document, covers=state.next_offset, checkpoint_id="c", writer="w"
        )
    )
    assemble_ms, text = measure(lambda: assemble(chunks, state.next_offset))
    load_ms, _ = measure(lambda: load_state(text))
    bootstrap_ms, _ = measure(lambda: asyncio.run(bootstrap(chunks, state.next_offset)))
    return Figures(
        document_bytes=len(document),
        appended_bytes=sum(len(encode_record(chunk)) for chunk in chunks),
        chunks=len(chunks),
        dump_ms=dump_ms,
        split_ms=split_ms,
        assemble_ms=assemble_ms,
        load_ms=load_ms,
        bootstrap_ms=bootstrap_ms,
    )


def assemble(chunks, first: int) -> str:
    """Return the document of a checkpoint's chunks."""
    assembler = CheckpointAssembler()
    for offset, chunk in enumerate(chunks, first):
        result = assembler.add(offset, chunk)
    return result.unwrap().document


async def bootstrap(chunks, first: int) -> None:
    """Start from a log that keeps a checkpoint and the records after it."""
    store = LogStore()
    store.get_stream(OWNERSHIP_STREAM).first = first
    for chunk in chunks:
        store.append(OWNERSHIP_STREAM, encode_record(chunk))
    for number in range(SUCCESSORS.value):
        record = Retire(record_id=f"x{number}", writer="w", incarnation="gone#1")
        store.append(OWNERSHIP_STREAM, encode_record(record))
    result = await load_stream(
        log=InProcessLog(store=store),
        stream=OWNERSHIP_STREAM,
        create=OwnershipState,
        load=load_state,
        metrics=Metrics(),
        random=random.Random(SEED),
        deadline_s=asyncio.get_running_loop().time() + 60,
    )
    loaded = result.unwrap()
    for logged in loaded.records:
        apply_record(loaded.state, logged.offset, logged.record)


def main(argv: list[str]) -> None:
    """Measure both sizes and print the table."""
    del argv
    half = measure_size(NODES.value // 2, SHARDS.value // 2)
    full = measure_size(NODES.value, SHARDS.value)
    rows = []
    for field in dataclasses.fields(Figures):
        small, large = getattr(half, field.name), getattr(full, field.name)
        rows.append([field.name, small, large, large / small])
    headers = [
        "figure",
        f"{NODES.value // 2} nodes, {SHARDS.value // 2} shards",
        f"{NODES.value} nodes, {SHARDS.value} shards",
        "ratio",
    ]
    print(tabulate(rows, headers=headers, tablefmt="github", floatfmt=".1f"))


if __name__ == "__main__":
    app.run(main)
