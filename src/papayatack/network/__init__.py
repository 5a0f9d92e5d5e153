"""Sockets: HTTP towards callers and upstreams, Thrift between nodes."""
