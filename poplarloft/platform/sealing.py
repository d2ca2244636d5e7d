"""Configurations without the API keys of client accounts.

Instances hold and exchange digests only.
"""

import base64
from urllib import parse

import msgspec

from poplarloft.platform import names
from poplarloft.protocol import errors
from poplarloft.protocol import http

__all__ = ["seal_configuration", "sealed_answer"]


def seal_configuration(value: bytes) -> bytes:
    """Return a configuration with digests in place of its API keys.

    A value that can't be read becomes empty, as it may contain keys.
    """
    try:
        document = msgspec.json.decode(value)
        for row in document.get("tenants") or ():
            keys = row.pop("keys", ())
            digests = [http.bearer_digest(key) for key in keys]
            row["key_digests"] = [*row.get("key_digests", ()), *digests]
    except (AttributeError, *errors.DECODING_ERRORS):
        return b""
    return msgspec.json.encode(document)


def sealed_answer(target: str, body: bytes) -> bytes:
    """Return the answer to a call without the API keys in it.

    Parameters
    ----------
    target : str
        Path and query of the call.
    body : bytes
        Body of the answer.
    """
    query = parse.parse_qs(parse.urlsplit(target).query, True)
    prefix = [*query.get("key", ()), *query.get("prefix", ())]
    if not any(names.CONFIGURATION_KEY.startswith(text) for text in prefix):
        return body
    try:
        answer = msgspec.json.decode(body)
        for row in (
            answer,
            *answer.get("items", ()),
            *answer.get("events", ()),
        ):
            if row.get("key") == names.CONFIGURATION_KEY and "value" in row:
                value = seal_configuration(base64.b64decode(row["value"]))
                row["value"] = base64.b64encode(value).decode("ascii")
    except (AttributeError, *errors.DECODING_ERRORS):
        return b""
    return msgspec.json.encode(answer)
