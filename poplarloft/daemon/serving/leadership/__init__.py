"""The leader of a cell, its standbys, and its right to send orders."""
