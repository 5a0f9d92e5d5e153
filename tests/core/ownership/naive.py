"""Naive implementation of the fold of the ownership stream.

It gives records the same meaning as :mod:`papayatack.core.ownership.fold`, but replays
the whole log into plain dictionaries on every call and keeps no other state.
"""

import threading

from papayatack.core import records


class NaiveFold:
    """A log of records whose state is computed by a full replay."""

    def __init__(self):
        self._lock = threading.Lock()
        self._log = []

    def append(self, record):
        """Append a record, or ``None`` for one that could not be decoded."""
        with self._lock:
            self._log.append(record)

    def replay(self):
        """Return the state after the log, and whether each record took effect."""
        with self._lock:
            state = {"nodes": {}, "at": {}, "leases": {}, "shards": {}, "effective": []}
            seen = set()
            for offset, record in enumerate(self._log):
                effective = (
                    record is not None
                    and record.record_id not in seen
                    and self._apply(state, offset, record)
                )
                if effective:
                    seen.add(record.record_id)
                state["effective"].append(bool(effective))
            return state

    def _apply(self, state, offset, record):
        if isinstance(record, records.Announce):
            return self._announce(state, record)
        if isinstance(record, records.Admit):
            return self._admit(state, record)
        if isinstance(record, records.Assign):
            outcomes = []
            done = set()
            for entry in record.assignments:
                if entry.shard in done:
                    continue
                outcomes.append(self._assign(state, offset, entry))
                if outcomes[-1]:
                    done.add(entry.shard)
            return any(outcomes)
        if isinstance(record, records.Activate):
            activated = [self._activate(state, e) for e in record.activations]
            return any(activated)
        if isinstance(record, records.Retire):
            own = record.writer == record.incarnation
            return own and self._end(state, record.incarnation)
        if isinstance(record, records.Fenced):
            lease = state["leases"].get(record.lease)
            if lease is None or lease["ended"] or not 0 <= record.floor <= offset:
                return False
            lease["ended"] = True
            return True
        if isinstance(record, records.DeclareLost):
            ended = [self._end(state, name) for name in record.incarnations]
            return any(ended)
        return isinstance(record, records.CheckpointChunk)

    def _announce(self, state, record):
        current = state["at"].get(record.address)
        holder = state["nodes"].get(current)
        named = record.supersedes or None
        if record.incarnation in state["nodes"] or named != current:
            return False
        if holder is not None:
            self._end(state, current)
        state["nodes"][record.incarnation] = {
            "live": True,
            "term": 0,
            "address": record.address,
        }
        state["at"][record.address] = record.incarnation
        self._remove_ended(state)
        return True

    def _remove_ended(self, state):
        """Remove ended leases and members that no chain refers to."""
        named = {
            lease
            for chains in state["shards"].values()
            for chain in chains["chains"]
            for lease in chain["leases"]
        }
        for lease in list(state["leases"]):
            node = state["nodes"][lease.incarnation]
            old = lease.term < node["term"] or not node["live"]
            if old and lease not in named:
                del state["leases"][lease]
        for name, node in list(state["nodes"].items()):
            if not node["live"] and not any(
                lease.incarnation == name for lease in state["leases"]
            ):
                del state["nodes"][name]
                if state["at"].get(node["address"]) == name:
                    del state["at"][node["address"]]

    def _admit(self, state, record):
        node = state["nodes"].get(record.lease.incarnation)
        if node is None or not node["live"]:
            return False
        if record.lease.term != node["term"] + 1:
            return False
        names = list(record.witnesses)
        if len(names) > 7 or len(names) != len(set(names)):
            return False
        for name in names:
            witness = state["nodes"].get(name)
            if name == record.lease.incarnation or not witness or not witness["live"]:
                return False
        node["term"] += 1
        state["leases"][record.lease] = {"ended": False, "witnesses": tuple(names)}
        return True

    def _end(self, state, name):
        node = state["nodes"].get(name)
        if node is None or not node["live"]:
            return False
        node["live"] = False
        for lease, entry in state["leases"].items():
            if lease.incarnation == name:
                entry["ended"] = True
        return True

    def _assign(self, state, offset, entry):
        shard = state["shards"].get(entry.shard)
        epoch = shard["chains"][-1]["epoch"] if shard else 0
        chain = tuple(entry.chain)
        if epoch != entry.base_epoch or len(chain) > 8 or len(chain) != len(set(chain)):
            return False
        if entry.parent:
            return self._split_or_merge(state, offset, entry, shard)
        if not chain and shard is None:
            return False
        for lease in chain:
            known = state["leases"].get(lease)
            if known is None or known["ended"]:
                return False
        new = {"epoch": epoch + 1, "leases": chain, "since": offset + 1}
        if shard is None:
            state["shards"][entry.shard] = {"chains": [new], "active": False}
        else:
            shard["chains"].append(new)
            shard["active"] = False
        return True

    def _split_or_merge(self, state, offset, entry, shard):
        parent = state["shards"].get(entry.parent)
        if parent is None or not parent["active"] or len(parent["chains"]) != 1:
            return False
        top = parent["chains"][-1]
        if top["epoch"] != entry.parent_epoch:
            return False
        if entry.chain:
            if shard is not None or tuple(entry.chain) != top["leases"]:
                return False
            chain = {
                "epoch": offset + 1,
                "leases": top["leases"],
                "since": offset + 1,
            }
            state["shards"][entry.shard] = {"chains": [chain], "active": True}
            return True
        if shard is None or not shard["active"]:
            return False
        if shard["chains"][-1]["leases"] != top["leases"]:
            return False
        del state["shards"][entry.shard]
        return True

    def _activate(self, state, entry):
        shard = state["shards"].get(entry.shard)
        if shard is None or shard["active"]:
            return False
        top = shard["chains"][-1]
        if top["epoch"] != entry.epoch or entry.owner not in top["leases"]:
            return False
        shard["chains"] = [top]
        shard["active"] = True
        return True
