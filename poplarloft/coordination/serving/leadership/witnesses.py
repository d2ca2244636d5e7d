"""Instances that can tell standbys whether the leader lives.

A standby may be cut off from the leader, or the leader from all standbys,
while both reach everyone else. So a few instances that never lead get the
leader's heartbeats too, and say how long ago they heard it.
"""

from collections import abc

import xxhash

from poplarloft import state

__all__ = ["rank_witnesses"]

WITNESSES = 3


def rank_witnesses(
    leader: str, members: abc.Mapping[str, state.PeerRecord]
) -> list[state.Address]:
    """Return the addresses of a leader's witnesses, by rendezvous.

    Parameters
    ----------
    leader : str
        Name of the leader.
    members : mapping of str to state.PeerRecord
        All instances. Those that offer to issue permits may lead, and are
        no witnesses.
    """
    addresses = {
        name: row.peers
        for name, row in members.items()
        if row.peers is not None and not row.issues_permits
    }

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{name}/{leader}".encode())

    ranked = sorted(addresses, key=weight, reverse=True)
    return [addresses[name] for name in ranked[:WITNESSES]]
