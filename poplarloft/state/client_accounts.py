"""Client accounts: who sends requests, recognized by API keys."""

import dataclasses

__all__ = ["Caller", "ClientAccount"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """An account of the operator's configuration.

    Parameters
    ----------
    name : str
        Name, which upstreams are told.
    key_digests : tuple of str
        Hex SHA-256 digests of its API keys. Without one, the account can
        send no requests, but its lots go on.
    priority : int or None
        Scheduling priority of its requests, instead of that of the route;
        None to use the route's.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The sender of a request, where the configuration has accounts.

    Parameters
    ----------
    account : str
        Name of its account; empty for a request without a valid key, which
        only public routes take.
    """

    account: str
