"""Experiments and slopes; each prints one JSON line."""
