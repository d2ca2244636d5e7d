"""The daemon behind a platform's balancer and store.

`entry` answers clients; `bulk` runs lots and orders weights.
"""
