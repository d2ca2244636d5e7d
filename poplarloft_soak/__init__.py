"""Randomized fault injection against daemons that run as processes.

The soak is no part of the product. It starts the daemons, runs the
stand-ins of the platform in its own process, and checks the promises of
the documentation on what callers, trainers and upstreams recorded.
"""
