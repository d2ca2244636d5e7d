"""Decisions on which software version a stream goes on at."""

from poplarloft.coordination.serving.streams.stream_reports import DueReport
from poplarloft.coordination.serving.streams.stream_reports import (
    REPORT_DELAY_MS,
)
from poplarloft.coordination.serving.streams.stream_reports import (
    StreamReports,
)
from poplarloft.coordination.serving.streams.stream_versions import (
    STREAM_LIFETIME_MS,
)
from poplarloft.coordination.serving.streams.stream_versions import StreamTable
from poplarloft.coordination.serving.streams.stream_versions import (
    VersionHistory,
)

__all__ = [
    "DueReport",
    "REPORT_DELAY_MS",
    "STREAM_LIFETIME_MS",
    "StreamReports",
    "StreamTable",
    "VersionHistory",
]
