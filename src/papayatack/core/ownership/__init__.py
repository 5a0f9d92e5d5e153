"""Ownership of shards: leases, witnesses, fencing, chains and the ownership stream."""

from papayatack.core.ownership.fold import ApplyResult, apply_record
from papayatack.core.ownership.snapshot import dump_state, load_state
from papayatack.core.ownership.state import OwnershipState

__all__ = ["ApplyResult", "OwnershipState", "dump_state", "apply_record", "load_state"]
