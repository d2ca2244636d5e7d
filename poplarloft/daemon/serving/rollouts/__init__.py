"""Lots of samples: accepted, generated, scored, recorded and read."""
