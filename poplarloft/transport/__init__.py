"""Sockets: HTTP server and client, peers, metrics, platform clients."""

from poplarloft.transport.disk import AtomicFile
from poplarloft.transport.errors import TransportFailure
from poplarloft.transport.http_client import HttpClient
from poplarloft.transport.http_client import TruncatedResponseError
from poplarloft.transport.http_client import UpstreamResponse
from poplarloft.transport.http_server import HttpServer
from poplarloft.transport.http_server import ServerLimits
from poplarloft.transport.key_value import HttpKeyValueStore
from poplarloft.transport.metrics import NoMetrics
from poplarloft.transport.metrics import StatsdMetrics
from poplarloft.transport.peers import CurveKeys
from poplarloft.transport.peers import PeerSockets

__all__ = [
    "AtomicFile",
    "CurveKeys",
    "HttpClient",
    "HttpKeyValueStore",
    "HttpServer",
    "NoMetrics",
    "PeerSockets",
    "ServerLimits",
    "StatsdMetrics",
    "TransportFailure",
    "TruncatedResponseError",
    "UpstreamResponse",
]
