"""Adapter to the users' platform: nothing outside of it uses the platform's names."""
