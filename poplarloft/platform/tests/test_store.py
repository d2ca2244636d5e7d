"""Pages of the store from which a listing can not go on."""

import json

import pytest
from returns import result

from poplarloft.platform import store
from poplarloft import state


class Response:
    """A response of the store, complete."""

    status = 200

    def __init__(self, body):
        self.body = body

    async def read(self, max_bytes):
        return json.dumps(self.body).encode()


class Client:
    """Answers each call with the next of some pages."""

    def __init__(self, *pages):
        self.pages = list(pages)

    async def send(self, *call):
        return result.Success(Response(self.pages.pop(0)))


def page(keys, has_more):
    rows = [{"key": key, "revision": 3} for key in keys]
    return {"items": rows, "has_more": has_more, "current_rev": 9}


@pytest.mark.parametrize(
    "second", [page([], True), page(["p/a"], False), page(["p/b"], True)]
)
async def test_a_listing_that_can_not_go_on_fails(second):
    """Guards against a part of a listing that is taken for all of it."""
    client = Client(page(["p/a", "p/b"], True), second)
    reached = store.PlatformStore(client, state.Address("127.0.0.1", 1))
    match await store.list_all(reached, "p/"):
        case result.Failure(failure):
            assert failure.kind is state.StoreFailureKind.REJECTED
            assert "'p/b'" in failure.detail
        case listed:
            raise AssertionError(listed)
