"""Tests of papayatack, arranged as the package is."""
