"""Simulations and measurements; each prints its report as one JSON object."""
