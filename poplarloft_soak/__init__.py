"""Randomized faults against real daemons, checked by what others see.

Outside the product: it starts daemons as processes, holds the stand-ins
of the platform, and records what callers, trainers and upstreams see.
"""
