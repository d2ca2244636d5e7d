"""The daemon: composition of the layers on one loop."""
