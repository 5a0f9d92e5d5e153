"""Tasks that drive ownership: timers, log tailing, peer messages, grants, planning."""

from papayatack.control.interface import GrantSink, PeerSender
from papayatack.control.node import ControlNode

__all__ = ["ControlNode", "GrantSink", "PeerSender"]
