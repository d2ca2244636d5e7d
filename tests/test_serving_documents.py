"""Malformed documents of other writers raise one error type."""

import contextlib
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from poplarloft.platform import documents
from poplarloft.platform import lots
from poplarloft.protocol import errors
from standins import sampler
from tests import serving_fleet


def decode_sampler(value):
    return documents.decode_sampler("servers/e0", value)


def decode_lot(value):
    decoder = lots.LotDecoder(lots.LotSource("lot", "h", "/l/x", value))
    while decoder.decode_items(1):
        pass
    return decoder.lot()


DOCUMENTS = [
    (documents.decode_configuration, serving_fleet.configuration()),
    (decode_sampler, sampler.SamplerStandin("e0").announcement("pool")),
    (documents.decode_weights_target, b'{"model":"m","version":2}'),
    (decode_lot, serving_fleet.lot_body(1)),
]
VALUES = st.sampled_from(
    [None, True, -1, 2**70, 1.5, "", "x\n", "\ud800", [], {}, [[]], {"a": []}]
)


def paths_in(value, path=()):
    """Yield the path of each value within a decoded document."""
    yield path
    rows = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        rows = enumerate(value)
    for key, child in rows:
        yield from paths_in(child, (*path, key))


def replaced(value, path, replacement):
    """Return a document with the value at a path replaced."""
    if not path:
        return replacement
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replaced(value[path[0]], path[1:], replacement)
    return copy


@pytest.mark.parametrize("decode, encoded", DOCUMENTS)
def test_intact_documents_decode(decode, encoded):
    decode(encoded)


@pytest.mark.parametrize("decode, encoded", DOCUMENTS)
@given(data=st.data())
def test_documents_with_other_values_raise_a_field_error(
    decode, encoded, data
):
    document = json.loads(encoded)
    for _ in range(data.draw(st.integers(1, 3))):
        path = data.draw(st.sampled_from(list(paths_in(document))))
        document = replaced(document, path, data.draw(VALUES))
    with contextlib.suppress(errors.FieldError):
        decode(json.dumps(document).encode())


@pytest.mark.parametrize("decode, encoded", DOCUMENTS)
@given(length=st.integers(0, 2_000), noise=st.binary(max_size=20))
def test_damaged_documents_raise_a_field_error(decode, encoded, length, noise):
    cut = encoded[: length % len(encoded)]
    with contextlib.suppress(errors.FieldError):
        decode(cut + noise)
