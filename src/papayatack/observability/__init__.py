"""Numbered log events, counters and latency histograms."""
