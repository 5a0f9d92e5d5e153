"""Resident memory of real nodes: ``python -m bench.memory --nodes=3,6,9``.

Reads ``/proc``, so that it needs Linux.
"""

import asyncio
import pathlib
import resource
import statistics

from absl import app, flags

from examples.mesh import publish_inventory, wait_served
from standins.fleet import Fleet, Site

__all__ = ["main"]

PLACES = ("baq-norte", "baq-centro", "baq-puerto")
MIB = 1024 * 1024

FLAGS = flags.FLAGS


def _read_resident_bytes(pid: int) -> int:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * resource.getpagesize()


async def _measure(nodes: int) -> None:
    sites = tuple(
        Site(service="hiring", place=PLACES[n % len(PLACES)], region="barranquilla")
        for n in range(nodes)
    )
    async with Fleet(sites=sites, check_grants=frozenset({"hiring"})) as fleet:
        await publish_inventory(fleet)
        await wait_served(fleet)
        pids = [member.node.pid for member in fleet.members if member.node]
        resident = [_read_resident_bytes(pid) / MIB for pid in pids]
    print(
        f"{nodes} nodes, 256 shards: resident MiB a node"
        f" median {statistics.median(resident):.1f} max {max(resident):.1f}"
    )


async def _measure_all() -> None:
    for nodes in FLAGS.nodes:
        await _measure(int(nodes))


def main(arguments: list[str]) -> None:
    """Measure fleets of the sizes that the flag names."""
    del arguments
    asyncio.run(_measure_all())


if __name__ == "__main__":
    flags.DEFINE_list("nodes", ["3", "6", "9"], "Sizes of the fleets.")
    app.run(main)
