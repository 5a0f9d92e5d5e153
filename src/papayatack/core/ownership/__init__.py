"""Leases, witnesses, fences, chains and the fold of the ownership stream."""
