"""Classes of the Thrift structs in ``peer.thrift``, loaded at import."""

import pathlib

import thriftpy2

__all__ = ["schema"]

_PATH = pathlib.Path(__file__).with_name("peer.thrift")

schema = thriftpy2.load(str(_PATH), module_name="papayatack_peer_thrift")
"""Generated module with one class per struct of ``peer.thrift``."""
