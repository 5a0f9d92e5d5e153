"""What the operators' client costs at 1,000 nodes."""

import dataclasses
import time

from bench.placement_fleet import THOUSAND, make_view
from papayatack.wire.answers import NodeEntry, StatusAnswer, VersionAnswer

REPEATS = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientFigures:
    """The answer to one ``GET /status`` of a node that knows the whole fleet.

    Attributes:
        nodes: Nodes that it lists.
        kibibytes: Its size.
        encode_ms: Processor time at the node.
        decode_ms: Processor time at the client to decode all of it.
        version_ms: Processor time at the client to decode the version alone.
    """

    nodes: int
    kibibytes: float
    encode_ms: float
    decode_ms: float
    version_ms: float


def measure_status(nodes: int) -> ClientFigures:
    """Encode and decode one status."""
    view = make_view(dataclasses.replace(THOUSAND, nodes=nodes))
    answer = StatusAnswer(
        incarnation=view.nodes[0].lease.incarnation,
        nodes=[
            NodeEntry(
                incarnation=node.lease.incarnation,
                operator_address=node.lease.incarnation.partition("#")[0],
                data_centre=node.data_centre,
                service=node.service,
                state="serving",
            )
            for node in view.nodes
        ],
    )
    started = time.process_time()
    for _ in range(REPEATS):
        body = answer.model_dump_json()
    encoded = time.process_time()
    for _ in range(REPEATS):
        StatusAnswer.model_validate_json(body)
    decoded = time.process_time()
    for _ in range(REPEATS):
        VersionAnswer.model_validate_json(body)
    finished = time.process_time()
    return ClientFigures(
        nodes=nodes,
        kibibytes=len(body) / 1024,
        encode_ms=1e3 * (encoded - started) / REPEATS,
        decode_ms=1e3 * (decoded - encoded) / REPEATS,
        version_ms=1e3 * (finished - decoded) / REPEATS,
    )
