"""A reference implementation of the fair queue that scans lists."""

__all__ = ["ReferenceFairQueue"]


class ReferenceFairQueue:
    """Start-time fair queueing, implemented directly from its definition."""

    def __init__(self, *, weights):
        self.weights = {"": 1.0, **weights}
        self.waiting = []
        self.starts = {}
        self.finishes = {}
        self.virtual_time = 0.0

    def flow_entries(self, flow):
        """Return the queued entries of a flow by their latest starts."""
        entries = [entry for entry in self.waiting if entry.flow == flow]
        return sorted(entries, key=lambda entry: entry.queue_deadline_s)

    def newest(self, flow):
        """Return the queued entry of a flow that was added last."""
        return [entry for entry in self.waiting if entry.flow == flow][-1]

    def push(self, entry):
        """Append an entry."""
        if not self.flow_entries(entry.flow):
            finish = self.finishes.get(entry.flow, 0.0)
            self.starts[entry.flow] = max(self.virtual_time, finish)
        self.waiting.append(entry)

    def least_start(self):
        """Return the lowest start tag of all flows with queued entries."""
        return min(self.starts[entry.flow] for entry in self.waiting)

    def pop(self, flow):
        """Remove and return the first entry of a flow with the lowest start tag."""
        entry = self.flow_entries(flow)[0]
        self.waiting.remove(entry)
        start = self.starts[flow]
        self.virtual_time = max(self.virtual_time, start)
        self.finishes[flow] = start + entry.charge / self.weights[flow]
        self.starts[flow] = self.finishes[flow]
        return entry

    def remove(self, entry):
        """Remove a queued entry."""
        self.waiting.remove(entry)

    def adjust(self, entry, difference):
        """Charge a flow for the difference to the expected charge."""
        if entry.flow not in self.finishes:
            return
        extra = difference / self.weights[entry.flow]
        self.finishes[entry.flow] += extra
        if self.flow_entries(entry.flow):
            start = self.starts[entry.flow] + extra
            self.starts[entry.flow] = max(self.virtual_time, start)

    def longest(self):
        """Return the greatest weighted length of all flows."""
        return max(
            len(self.flow_entries(entry.flow)) / self.weights[entry.flow]
            for entry in self.waiting
        )

    def work_ahead(self, flow):
        """Return the sum of charges that are served before a new entry of the flow."""
        own = sum(entry.charge for entry in self.flow_entries(flow))
        active = {entry.flow for entry in self.waiting}
        weight = sum(self.weights[name] for name in active)
        total = sum(entry.charge for entry in self.waiting)
        return min(own * weight / self.weights[flow], total)
