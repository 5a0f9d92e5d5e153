"""Print what the choice of a node costs with and without told loads.

Run ``python -m bench.node_choice``.
"""

import random
import time
from collections.abc import Callable

from tabulate import tabulate

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.admission.room import RoomMeter
from papayatack.core.health import HealthTracker
from papayatack.core.inventory import RequestClass
from papayatack.core.load_balancer import LoadBalancer
from papayatack.core.node_load import NodeLoad
from papayatack.wire.frames import encode_frame
from papayatack.wire.node_loads import decode_node_load, encode_node_load
from papayatack.wire.schema import schema

COUNTS = (4, 60, 600)
REPEATS = 2000
RUNS = 3
LOAD = NodeLoad(wait_s=0.1, work_s=1.0, slots=8, service_s=0.1)
LIMITED = NodeLoad(
    wait_s=0.1, work_s=1.0, slots=8, service_s=0.1, requests_per_s=12.5, pace=2.5
)


def measure_us(call: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds, the least of some runs."""
    runs = []
    for _ in range(RUNS):
        begun_s = time.process_time()
        for _ in range(REPEATS):
            call()
        runs.append((time.process_time() - begun_s) / REPEATS * 1e6)
    return min(runs)


def measure_choice(count: int, *, tells: bool) -> float:
    """Return the time of a choice among nodes that tell their load, or do not."""
    balancer: LoadBalancer[int] = LoadBalancer(rng=random.Random(1))
    nodes = list(range(count))
    health = HealthTracker(nodes=nodes, rng=random.Random(1))
    for node in nodes:
        balancer.start_request(node, 0.0)
        balancer.finish_request(0.0, node, latency_s=0.1, error=None)
        if tells:
            balancer.record_told_load(0.0, node, LOAD)
    return measure_us(
        lambda: balancer.choose(0.01, local_nodes=nodes, remote_nodes=(), health=health)
    )


def measure_reading() -> float:
    """Return the time in which a node builds what it tells."""
    admission = AdmissionController(now=0.0, limits=AdmissionLimits(ramp_s=0.0))
    room = RoomMeter()
    entry = admission.offer(
        0.0, partner="", request_class=RequestClass.BROWSE, cost=1.0, deadline_s=9.0
    )
    admission.poll(0.0)
    room.start(entry)
    room.finish(entry, service_time_s=0.1, pace=1.0)
    return measure_us(lambda: room.read(0.0, admission, pace=1.0))


def count_bytes(load: NodeLoad) -> int:
    """Return what a load adds to the frame of a response."""
    sizes = []
    for struct in (None, encode_node_load(load)):
        head = schema.ResponseHead(status=200, reason=b"OK", headers=[], load=struct)
        sizes.append(len(encode_frame(schema.Frame(stream=1, response=head))))
    return sizes[1] - sizes[0]


def main() -> None:
    """Print the figures."""
    rows = [
        [count, measure_choice(count, tells=False), measure_choice(count, tells=True)]
        for count in COUNTS
    ]
    headers = ["nodes", "choice without news, us", "with news, us"]
    print(tabulate(rows, headers, tablefmt="github", floatfmt=".1f"))
    conversion_us = measure_us(lambda: decode_node_load(encode_node_load(LOAD)))
    print(f"\nbuilding the load: {measure_reading():.1f} us")
    print(f"both conversions: {conversion_us:.1f} us")
    print(f"bytes: {count_bytes(LOAD)}, with pace and limit {count_bytes(LIMITED)}")


if __name__ == "__main__":
    main()
