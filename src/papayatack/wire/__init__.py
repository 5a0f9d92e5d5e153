"""Encodings of peer messages (Thrift), log records and operator responses (JSON)."""
