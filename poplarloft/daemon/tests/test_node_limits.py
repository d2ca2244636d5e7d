"""Settings of the machine and the listener reach the daemon's parts."""

from poplarloft.daemon import node
from poplarloft.protocol import settings

ARGUMENTS = [
    "--name=entry-0",
    "--region=norte",
    "--data-centre=norte-a",
    "--key-value=127.0.0.1:1",
    "--instance-list=127.0.0.1:1",
]
DEFAULT_UNREAD_MS = 30_000


async def test_listener_has_the_limits_of_its_settings():
    # Guards against settings that are passed on by their position.
    loaded = settings.load_settings([*ARGUMENTS, "--max-connections=7"])
    limits = node.Node(loaded).server.limits
    assert limits.max_connections == 7
    assert limits.unread_timeout_ms == DEFAULT_UNREAD_MS
