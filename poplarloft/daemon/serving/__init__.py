"""The daemon that runs behind a platform's load balancer and store.

In the role `entry` it serves clients; in the role `bulk` it schedules
lots and orders weight updates.
"""
