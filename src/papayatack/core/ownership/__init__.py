"""Leases, witnesses, fences, chains and the fold of the ownership stream."""

from papayatack.core.ownership.fold import ApplyResult, apply_record
from papayatack.core.ownership.snapshot import dump_state, load_state
from papayatack.core.ownership.state import OwnershipState

__all__ = ["ApplyResult", "OwnershipState", "dump_state", "apply_record", "load_state"]
