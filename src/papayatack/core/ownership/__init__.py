"""Leases, witnesses, fences, chains and the fold of the ownership stream."""

from papayatack.core.ownership.fold import Change, fold
from papayatack.core.ownership.snapshot import dump_state, load_state
from papayatack.core.ownership.state import OwnershipState

__all__ = ["Change", "OwnershipState", "dump_state", "fold", "load_state"]
