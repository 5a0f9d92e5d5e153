"""Tests of papayatack.core.placement."""
