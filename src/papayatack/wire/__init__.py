"""Encodings: peer messages (Thrift), log records and operators' answers (JSON)."""
