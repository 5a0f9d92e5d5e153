"""Network I/O: HTTP with callers and upstreams, Thrift between nodes."""
