"""Which software versions began the streams of clients."""
