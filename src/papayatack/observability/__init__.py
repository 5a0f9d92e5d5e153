"""Structured logging, metrics and detection of event loop stalls."""
