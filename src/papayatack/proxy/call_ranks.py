"""Ranks of the calls that requests make while they run at the local upstream."""

import collections

from papayatack.network.exchanges import PeerRequest

__all__ = ["CallRanks"]

MAX_ROUTES = 1024
"""Number of routes of calls that are remembered."""


class CallRanks:
    """Gives calls the rank of the request that waits for them.

    A request that is only named like a call gets the rank of its route, but no better
    one than known calls of this route had: nobody is known to wait for it.
    """

    def __init__(self) -> None:
        self._worst_ranks: collections.OrderedDict[str, int] = collections.OrderedDict()

    def apply(self, call: PeerRequest, parent: PeerRequest) -> None:
        """Give a call the rank of its parent."""
        call.rank = parent.rank
        known = self._worst_ranks.get(call.route, 0)
        self._worst_ranks[call.route] = max(known, parent.rank)
        self._worst_ranks.move_to_end(call.route)
        if len(self._worst_ranks) > MAX_ROUTES:
            self._worst_ranks.popitem(last=False)

    def limit(self, request: PeerRequest) -> None:
        """Limit the rank of a request that is named like a call of no known parent."""
        request.rank = max(request.rank, self._worst_ranks.get(request.route, 0))
