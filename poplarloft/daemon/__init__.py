"""The daemon: the layers wired together on one event loop."""
