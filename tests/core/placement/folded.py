"""A fleet whose plans are folded by the ownership stream's fold."""

import dataclasses

from papayatack.core.identity import PeerAddress
from papayatack.core.ownership.fold import apply_record
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.placement import PlacementShard
from papayatack.core.records import Activate, Activation, Admit, Announce, Assign


class FoldedFleet:
    """Folds records in the same way as readers of the log.

    Attributes:
        state: Folded state.
        records: All records, by offset.
    """

    def __init__(self, view):
        self.state = OwnershipState()
        self.records = []
        self.view = view
        for node in view.nodes:
            self._announce(node)
        for node in view.nodes:
            self._admit(node)

    def fold(self, record):
        """Fold a record at the next offset and return the change."""
        self.records.append(record)
        return apply_record(self.state, self.state.next_offset, record)

    def _announce(self, node):
        incarnation = node.lease.incarnation
        self.fold(
            Announce(
                record_id=f"announce {incarnation}",
                writer=incarnation,
                incarnation=incarnation,
                address=PeerAddress(incarnation.partition("#")[0]),
                operator_address="127.0.0.1:1",
                data_centre=node.data_centre,
                region=node.region,
                service=node.service,
                upstream="127.0.0.1:2",
                slots=node.slots,
                connections=100,
            )
        )

    def _admit(self, node):
        others = [n for n in self.view.nodes if n.data_centre != node.data_centre][:3]
        self.fold(
            Admit(
                record_id=f"admit {node.lease.incarnation}",
                writer=node.lease.incarnation,
                lease=node.lease,
                witnesses=tuple(n.lease.incarnation for n in others),
            )
        )

    def read_view(self):
        """Return the view with the shards of the folded state."""
        shards = {
            shard: PlacementShard(
                epoch=entry.current.epoch,
                chain=entry.current.leases,
                moving=not entry.active and bool(entry.current.leases),
            )
            for shard, entry in self.state.shards.items()
        }
        return dataclasses.replace(self.view, shards=shards)

    def assign(self, planned, *, batch=1):
        """Fold a plan's assignments; return the reasons of void records."""
        entries = planned.assignments
        voids = []
        for start in range(0, len(entries), batch):
            record = Assign(
                record_id=f"assign {self.state.next_offset}",
                writer="planner",
                assignments=entries[start : start + batch],
            )
            change = self.fold(record)
            if not change.effective:
                voids.append(change.reason)
        return voids

    def activate(self):
        """Activate every assigned shard at its owner."""
        activations = tuple(
            Activation(
                shard=shard, epoch=entry.current.epoch, owner=entry.current.leases[0]
            )
            for shard, entry in self.state.shards.items()
            if not entry.active and entry.current.leases
        )
        for start in range(0, len(activations), 256):
            self.fold(
                Activate(
                    record_id=f"activate {self.state.next_offset}",
                    writer="owners",
                    activations=activations[start : start + 256],
                )
            )
