"""A naive fair queue that scans everything, to compare with."""

__all__ = ["ReferenceFairQueue"]


class ReferenceFairQueue:
    """Start-time fair queueing by its definition, in lists."""

    def __init__(self, *, weights):
        self.weights = {"": 1.0, **weights}
        self.waiting = []
        self.starts = {}
        self.finishes = {}
        self.virtual_time = 0.0

    def flow_entries(self, flow):
        """Return the waiting entries of a flow in order."""
        return [entry for entry in self.waiting if entry.flow == flow]

    def push(self, entry):
        """Append an entry."""
        if not self.flow_entries(entry.flow):
            finish = self.finishes.get(entry.flow, 0.0)
            self.starts[entry.flow] = max(self.virtual_time, finish)
        self.waiting.append(entry)

    def least_start(self):
        """Return the least start tag of the flows that wait."""
        return min(self.starts[entry.flow] for entry in self.waiting)

    def pop(self, flow):
        """Take the first entry of a flow that has the least start tag."""
        entry = self.flow_entries(flow)[0]
        self.waiting.remove(entry)
        start = self.starts[flow]
        self.virtual_time = max(self.virtual_time, start)
        self.finishes[flow] = start + entry.charge / self.weights[flow]
        self.starts[flow] = self.finishes[flow]
        return entry

    def remove(self, entry):
        """Take out an entry."""
        self.waiting.remove(entry)

    def adjust(self, entry, difference):
        """Charge a flow for more, or less, than expected."""
        if entry.flow not in self.finishes:
            return
        extra = difference / self.weights[entry.flow]
        self.finishes[entry.flow] += extra
        if self.flow_entries(entry.flow):
            start = self.starts[entry.flow] + extra
            self.starts[entry.flow] = max(self.virtual_time, start)

    def longest(self):
        """Return the greatest length per weight of all flows."""
        return max(
            len(self.flow_entries(entry.flow)) / self.weights[entry.flow]
            for entry in self.waiting
        )

    def work_ahead(self, flow):
        """Return the charges served before a new entry of the flow."""
        own = sum(entry.charge for entry in self.flow_entries(flow))
        active = {entry.flow for entry in self.waiting}
        weight = sum(self.weights[name] for name in active)
        total = sum(entry.charge for entry in self.waiting)
        return min(own * weight / self.weights[flow], total)
