"""Tests of papayatack.proxy."""
