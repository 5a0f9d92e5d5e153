"""Links of a node, and which of them is used to reach an address."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any

from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.network.connect_backoff import ConnectBackoff
from papayatack.network.links import Link, LinkOwner, parse_peer_address

__all__ = ["LinkTable"]

SWEEP_INTERVAL_S = 0.5
"""Interval between checks of all links."""
FLUSH_POLL_INTERVAL_S = 0.02
"""Interval between checks for unwritten bytes during a shutdown."""
END_SHARE = 0.25
"""Share of the time for closing in which peers are no longer asked, but ended."""


class LinkTable:
    """Opens, accepts and closes links, keyed by the address of the peer.

    Iteration yields all links that are open, also those that others have replaced.
    """

    def __init__(self, *, owner: LinkOwner, rng: random.Random) -> None:
        self._owner = owner
        self._address = parse_peer_address(owner.incarnation)
        self._links: dict[PeerAddress, Link] = {}
        self._all_links: set[Link] = set()
        self._connecting: dict[PeerAddress, asyncio.Task[Link | None]] = {}
        self._backoff = ConnectBackoff(rng=rng)
        self._pending_control: dict[PeerAddress, list[Any]] = {}
        self._accepted: dict[PeerAddress, asyncio.Future[None]] = {}

    def __len__(self) -> int:
        return len(self._all_links)

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._all_links))

    def list_connecting(self) -> list["asyncio.Task[Link | None]"]:
        """Return the tasks that open links."""
        return list(self._connecting.values())

    def accept(self) -> Link:
        """Return a link for a connection that a peer opens."""
        return self._add(Link(owner=self._owner, address=None))

    def _add(self, link: Link) -> Link:
        self._all_links.add(link)
        return link

    def find(self, address: PeerAddress) -> Link | None:
        """Return the link that is used to reach an address, if one is open."""
        link = self._links.get(address)
        if link is None or link.closed or link.ending.has_begun:
            return None
        return link

    def send_control(self, address: PeerAddress, frame: Any) -> None:
        """Queue a control frame, and open a link for it if there is none.

        The frame is dropped while the address is backing off or the queue is full.
        """
        link = self.find(address)
        if link is not None:
            link.send_control(frame)
            return
        if self._is_backing_off(address):
            self._owner.metrics.count("control_dropped", "peer-unreachable")
            return
        pending = self._pending_control.setdefault(address, [])
        if len(pending) >= self._owner.limits.max_queued_control_messages:
            self._owner.metrics.count("control_dropped", "queue-full")
            return
        pending.append(frame)
        self._start_connecting(address)

    async def connect(self, address: PeerAddress) -> Link | None:
        """Open a link, or use one that the peer opens meanwhile.

        Returns:
            ``None`` if it fails or the address is backing off.
        """
        while not self._is_backing_off(address):
            opening = self._start_connecting(address)
            loop = asyncio.get_running_loop()
            accepted = self._accepted.setdefault(address, loop.create_future())
            await asyncio.wait({opening, accepted}, return_when=asyncio.FIRST_COMPLETED)
            link = self.find(address)
            if link is not None or not _is_ended(opening):
                return link
        return None

    def _is_backing_off(self, address: PeerAddress) -> bool:
        now = asyncio.get_running_loop().time()
        return self._backoff.must_wait(address, now)

    def _start_connecting(self, address: PeerAddress) -> "asyncio.Task[Link | None]":
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._open(address))
            self._connecting[address] = task
        return task

    async def _open(self, address: PeerAddress) -> Link | None:
        """Open a connection; on failure, start or extend the address's backoff."""
        loop = asyncio.get_running_loop()
        try:
            link = await self._connect_in_time(address)
        except (OSError, TimeoutError, ValueError, OverflowError):
            self._record_connect_failure(address, loop.time())
            return None
        finally:
            del self._connecting[address]
            self._accepted.pop(address, None)
        return self._register(address, link)

    async def _connect_in_time(self, address: PeerAddress) -> Link:
        """Open a connection.

        One that is open by the end of the time is kept, though this node is too busy to
        go on with it: the peer may have sent requests on it.

        Raises:
            OSError: The peer cannot be reached.
            TimeoutError: It was not reached in time.
            ValueError: The address is malformed.
            OverflowError: The port is out of range.
        """
        host, _, port = address.rpartition(":")
        link = Link(owner=self._owner, address=address)
        connecting = asyncio.ensure_future(
            asyncio.get_running_loop().create_connection(
                lambda: self._add(link), host, int(port)
            )
        )
        timeout_s = self._owner.limits.connect_timeout_s
        try:
            await asyncio.wait({connecting}, timeout=timeout_s)
            if not connecting.done() and not link.is_connected:
                raise TimeoutError
            await connecting
        except BaseException:
            connecting.cancel()
            self._all_links.discard(link)
            raise
        return link

    def _register(self, address: PeerAddress, link: Link) -> Link:
        """Use a new link unless a link opened by the peer exists and is preferred."""
        other = self.find(address)
        if other is None or self._address < address:
            if other is not None:
                other.retired = True
            self._links[address] = link
        else:
            link.retired = True
        self._note_reached(address)
        return self._links[address]

    def _note_reached(self, address: PeerAddress) -> None:
        """Send by an address's link what waited for one, and end its backoff."""
        self._backoff.clear(address)
        for frame in self._pending_control.pop(address, ()):
            self._links[address].send_control(frame)
        accepted = self._accepted.pop(address, None)
        if accepted is not None and not accepted.done():
            accepted.set_result(None)

    def _record_connect_failure(self, address: PeerAddress, now: float) -> None:
        metrics = self._owner.metrics
        metrics.count("peer_connects_failed")
        dropped = len(self._pending_control.pop(address, ()))
        if dropped:
            metrics.count("control_dropped", "peer-unreachable", dropped)
        if self.find(address) is None:
            self._backoff.record_failure(address, now, self._owner.limits)

    def register_accepted(self, link: Link, incarnation: IncarnationId) -> None:
        """Use a link that the peer opened for outgoing requests too.

        If both nodes have opened a link, both keep the one opened by the node with the
        lower address; the other is closed once it has no streams.
        """
        if link.opener or link.address is not None:
            return
        link.address = parse_peer_address(incarnation)
        if link.ending.has_begun:
            return
        current = self._links.get(link.address)
        outdated = (
            current is None
            or current.closed
            or current.ending.has_begun
            or self._is_abandoned_by_peer(current)
        )
        if outdated or link.address < self._address:
            if current is not None:
                current.retired = True
            self._links[link.address] = link
            self._note_reached(link.address)
        else:
            link.retired = True

    def _is_abandoned_by_peer(self, link: Link) -> bool:
        """Return whether a peer that opens a new connection has abandoned this link.

        If it has not, both nodes have opened a connection at the same time.
        """
        if not link.opener:
            return True
        known_s = asyncio.get_running_loop().time() - link.hello_received_s
        return known_s > self._owner.limits.connect_timeout_s

    def discard(self, link: Link) -> None:
        """Remove a closed link."""
        self._all_links.discard(link)
        self.forget(link)

    def forget(self, link: Link) -> None:
        """Use another link to its peer from now on; this one stays open."""
        if link.address is not None and self._links.get(link.address) is link:
            del self._links[link.address]

    async def wait_flushed(self, until_s: float) -> None:
        """Wait until all frames have been written, at most until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            if not any(link.has_unsent for link in self._all_links):
                return
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def go_away(self) -> None:
        """Have all peers send no more requests, and end their connections."""
        for link in self:
            if link.is_connected:
                link.ending.go_away()

    async def close_in_order(self, until_s: float) -> None:
        """Wait until the peers have read all and ended their connections.

        The writing ends on links that are still open after most of the time.
        """
        await self.wait_flushed(until_s)
        loop = asyncio.get_running_loop()
        asked_until_s = until_s - (until_s - loop.time()) * END_SHARE
        while self._all_links and loop.time() < until_s:
            self.go_away()
            if loop.time() >= asked_until_s:
                for link in self:
                    link.close_in_order()
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    async def sweep(self) -> None:
        """Check links for unresponsive peers, and close idle ones, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            limits = self._owner.limits
            for link in self:
                link.check_liveness(now)
                idle_s = SWEEP_INTERVAL_S if link.retired else limits.idle_s
                is_idle = not link.streams and now - link.last_used_s > idle_s
                if is_idle and link.is_connected and not link.has_unsent:
                    self.forget(link)
                    link.ending.go_away()
            self._backoff.prune(now - limits.idle_s)


def _is_ended(opening: "asyncio.Task[Link | None]") -> bool:
    """Return whether a link was opened that one of the nodes ends already."""
    if not opening.done() or opening.cancelled():
        return False
    link = opening.result()
    return link is not None and link.ending.has_begun
