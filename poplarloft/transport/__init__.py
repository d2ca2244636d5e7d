"""Sockets and files: HTTP server and client, peers, metrics, logs."""

from poplarloft import lazy_exports

_MODULE_OF_NAME = {
    "AtomicFile": "disk",
    "CurveKeys": "peers",
    "HttpClient": "http_client",
    "HttpKeyValueStore": "key_value",
    "HttpServer": "http_server",
    "NoMetrics": "metrics",
    "PeerSockets": "peers",
    "ServerLimits": "http_server",
    "StatsdMetrics": "metrics",
    "TransportFailure": "errors",
    "TruncatedResponseError": "http_client",
    "UpstreamResponse": "http_client",
}

__all__ = list(_MODULE_OF_NAME)
__getattr__ = lazy_exports.attribute_getter(__name__, _MODULE_OF_NAME)
