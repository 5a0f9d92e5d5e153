"""Tests of spec."""
