"""Encodings of peer messages (Thrift) and of log records (JSON)."""
