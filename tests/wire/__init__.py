"""Tests of papayatack.wire."""
