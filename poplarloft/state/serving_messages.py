"""The union of all messages between serving daemons."""

from poplarloft.state import crashes
from poplarloft.state import feeds
from poplarloft.state import metering
from poplarloft.state import standby
from poplarloft.state import streams
from poplarloft.state import upstream_limits

__all__ = ["ServingMessage"]

ServingMessage = (
    standby.Subscribe
    | standby.Heartbeat
    | standby.CheckpointBatch
    | feeds.FeedRequest
    | feeds.FeedAnswer
    | standby.LeaderAnnouncement
    | standby.LotAccepted
    | standby.LotEnded
    | standby.Ping
    | standby.Pong
    | upstream_limits.LimitNotice
    | upstream_limits.PermitRequest
    | upstream_limits.PermitAnswer
    | upstream_limits.LeavingNotice
    | crashes.CrashNotice
    | streams.StreamNotice
    | streams.StreamReceipt
    | streams.StreamRecall
    | streams.StreamLookup
    | streams.StreamAnswer
    | metering.UsageNotice
    | metering.UsageReceipt
)
