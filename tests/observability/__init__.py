"""Tests of papayatack.observability."""
