"""Translation between the users' platform and this project's types.

The modules hold names, formats and calls only. They make no decisions, do
not retry, and wait for nothing but sockets.
"""
