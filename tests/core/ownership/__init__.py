"""Tests of papayatack.core.ownership."""
