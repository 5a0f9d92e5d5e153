"""Tests of papayatack.core.admission."""
