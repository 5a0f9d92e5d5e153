"""The Thrift structs of ``peer.thrift``, loaded once."""

import pathlib

import thriftpy2

__all__ = ["schema"]

_PATH = pathlib.Path(__file__).with_name("peer.thrift")

schema = thriftpy2.load(str(_PATH), module_name="papayatack_peer_thrift")
"""Module with one class for each struct of ``peer.thrift``."""
