"""Decisions on metering: what each client account began, by window.

Instances count and tell the leader, which decides on the counts of each
window once, has the store record them, and reports what is recorded.
"""

from poplarloft.coordination.metering.counting import UsageCounter
from poplarloft.coordination.metering.window_ledger import MeteringRules
from poplarloft.coordination.metering.window_ledger import RecordWindow
from poplarloft.coordination.metering.window_ledger import ReportOutcome
from poplarloft.coordination.metering.window_ledger import ReportWindow
from poplarloft.coordination.metering.window_ledger import WindowLedger

__all__ = [
    "MeteringRules",
    "RecordWindow",
    "ReportOutcome",
    "ReportWindow",
    "UsageCounter",
    "WindowLedger",
]
