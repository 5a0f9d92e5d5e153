"""Conversion between the load of a node and its Thrift struct."""

from typing import Any

from papayatack.core.node_load import NodeLoad
from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = ["decode_node_load", "encode_node_load"]

US_PER_S = 1_000_000
PERMILLE = 1000
USUAL_PACE_PERMILLE = 1000
MAX_I32 = 2**31 - 1


def encode_node_load(load: NodeLoad) -> Any:
    """Convert a load to its struct; times that are too long are cut."""
    pace_permille = round(load.pace * PERMILLE)
    limit = round(load.requests_per_s * PERMILLE)
    return schema.NodeLoad(
        wait_us=min(int(load.wait_s * US_PER_S), MAX_I32),
        work_us=int(load.work_s * US_PER_S),
        slots=load.slots,
        service_us=min(max(1, int(load.service_s * US_PER_S)), MAX_I32),
        pace_permille=None if pace_permille == USUAL_PACE_PERMILLE else pace_permille,
        requests_per_1000_s=limit or None,
    )


def decode_node_load(struct: Any) -> NodeLoad:
    """Convert a struct to a load.

    Raises:
        WireError: A field is missing, or a value is out of its bounds.
    """
    required = (struct.wait_us, struct.work_us, struct.slots, struct.service_us)
    if None in required:
        raise WireError("the load of a node lacks a field")
    pace_permille = struct.pace_permille
    if pace_permille is None:
        pace_permille = USUAL_PACE_PERMILLE
    load = NodeLoad(
        wait_s=struct.wait_us / US_PER_S,
        work_s=struct.work_us / US_PER_S,
        slots=struct.slots,
        service_s=struct.service_us / US_PER_S,
        pace=pace_permille / PERMILLE,
        requests_per_s=(struct.requests_per_1000_s or 0) / PERMILLE,
    )
    if not load.is_plausible:
        raise WireError(f"implausible load: {load}")
    return load
