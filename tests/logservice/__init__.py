"""Tests of papayatack.logservice."""
