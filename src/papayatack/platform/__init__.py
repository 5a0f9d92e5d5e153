"""Adapter to the users' platform, the only package that uses the platform's names."""
