"""Completion streams that are interrupted again and again."""

import json

import pytest
from returns import result

from poplarloft import coordination
from poplarloft.daemon import calls
from poplarloft.daemon import resuming
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import http_client


class Stream:
    """A stream of one token that is then interrupted."""

    def __init__(self, token):
        self.token = token
        self.is_closed = False

    async def body(self):
        try:
            row = {"tokens": [self.token], "weight_version": 1}
            yield json.dumps(row).encode() + b"\n"
            raise http_client.TruncatedResponseError("interrupted")
        finally:
            self.is_closed = True


def make_call():
    body = json.dumps({"prompt": "p", "max_tokens": 100}).encode()
    request = http.HttpRequest("POST", "/", "", {}, body)
    return calls.RelayCall(
        request=request,
        headers=None,
        owner="o",
        route_name="r",
        route=state.RouteBody("engines", streamed=True),
        target=resuming.COMPLETIONS_PATH,
        repeatable=True,
        fingerprint="f",
        route_request=coordination.RouteRequest(),
        started_at_ms=0,
        deadline_ms=1_000,
    )


def upstream():
    return state.Upstream(
        "engine-0",
        1,
        state.UpstreamKind.ENGINE,
        "engines",
        state.Address("127.0.0.1", 1),
        state.Location("z", "r"),
    )


async def test_each_engine_that_failed_is_excluded_and_no_stream_is_left():
    streams, excluded = [Stream(0)], []

    async def send(call, failed, version):
        excluded.append(failed)
        streams.append(Stream(len(streams)))
        name = f"engine-{len(excluded)}"
        return result.Success(resuming.ResumedStream(name, streams[-1].body()))

    resumer = resuming.StreamResumer(send)
    received = []
    with pytest.raises(http_client.TruncatedResponseError, match="3 times"):
        async for lines in resumer.relay_stream(
            make_call(), upstream(), streams[0].body()
        ):
            received.append(lines)
    assert len(received) == 1 + resuming.MAX_RESUMES
    assert excluded == [
        frozenset({"engine-0"}),
        frozenset({"engine-0", "engine-1"}),
    ]
    assert len(streams) == 1 + resuming.MAX_RESUMES
    assert all(stream.is_closed for stream in streams)


async def test_a_line_before_an_error_text_is_neither_lost_nor_repeated():
    async def first():
        row = {"tokens": [1], "weight_version": 1}
        yield json.dumps(row).encode() + b"\nHTTP/1.1 500 Error\r\n\r\n"

    async def second():
        row = {"tokens": [2], "weight_version": 1, "done": True}
        yield json.dumps(row).encode() + b"\n"

    asked = []

    async def send(call, failed, version):
        asked.append(json.loads(call.request.body)["resume_from"])
        return result.Success(resuming.ResumedStream("engine-1", second()))

    relayed = [
        line
        async for lines in resuming.StreamResumer(send).relay_stream(
            make_call(), upstream(), first()
        )
        for line in lines.splitlines()
    ]
    assert [json.loads(line)["tokens"] for line in relayed] == [[1], [2]]
    assert asked == [[1]]
