"""Tests of papayatack.ctl."""
