"""Tests of papayatack.daemon."""
