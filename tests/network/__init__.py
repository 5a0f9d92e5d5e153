"""Tests of papayatack.network."""
