"""Capacity: the leader orders engines."""
