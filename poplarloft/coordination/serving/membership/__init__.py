"""Decisions on which instances live, and on this one's place among them.

Whoever issues permits, keeps streams, witnesses a leader or relays calls is
chosen among the members, so one that is gone must leave their list, and one
that lives must stay on it.
"""

from poplarloft.coordination.serving.membership.roster import Roster
from poplarloft.coordination.serving.membership.tenure import MEMBER_LEASE_MS
from poplarloft.coordination.serving.membership.tenure import settling_time_ms
from poplarloft.coordination.serving.membership.tenure import Tenure

__all__ = ["MEMBER_LEASE_MS", "Roster", "Tenure", "settling_time_ms"]
