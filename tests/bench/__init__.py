"""Tests of the measurements and of the targets that they show."""
