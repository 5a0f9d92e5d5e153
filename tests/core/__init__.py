"""Tests of papayatack.core."""
