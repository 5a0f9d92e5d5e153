"""Measurements; each program prints the figures that the docs quote."""
