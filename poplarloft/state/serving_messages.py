"""All messages between serving daemons."""

from poplarloft.state import feeds
from poplarloft.state import standby

__all__ = ["ServingMessage"]

ServingMessage = (
    standby.Subscribe
    | standby.Beat
    | standby.Copies
    | feeds.FeedRequest
    | feeds.FeedAnswer
    | standby.RunnerHere
    | standby.LotAccepted
    | standby.LotEnded
    | standby.Ping
    | standby.Pong
)
