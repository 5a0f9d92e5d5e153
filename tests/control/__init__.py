"""Tests of papayatack.control."""
