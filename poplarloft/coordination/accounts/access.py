"""Who may send a request, by the API key that it bears.

An instance decides with the configuration that it holds, which may be older
than the one in force. A key that it knows is admitted: it may have been
withdrawn a moment ago, but the configuration is never older than its bound
while the instance is in touch. A key that it does not know may have been
added a moment ago, so it is refused only once the store has confirmed the
configuration; until then the request is answered as not run.
"""

import dataclasses
import hmac

from poplarloft import state

__all__ = [
    "Access",
    "AccountAccess",
    "Admitted",
    "KeyRefused",
    "RevocationRules",
    "Unconfirmed",
]

CONFIRMATION_VALID_MS = 500  # unknown keys by the thousand share a reading
STRICT_SHARE = 0.8  # the rest is left for the request itself
PREFIX_CHARS = 16  # of a digest, by which its accounts are found


@dataclasses.dataclass(frozen=True, slots=True)
class RevocationRules:
    """What holds for withdrawn keys while the store is out of reach.

    Parameters
    ----------
    bound_ms : int
        Time within which a withdrawn key stops working.
    is_strict : bool
        Whether that holds for instances that are cut off from the store
        too. Such an instance then admits no key at all once its
        configuration is older than the bound allows.
    """

    bound_ms: int = 5_000
    is_strict: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent.

    Parameters
    ----------
    caller : state.Caller or None
        Who sends it; None if the configuration has no accounts.
    """

    caller: state.Caller | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """The configuration in force has no account with this key."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The configuration must be confirmed before the key can be judged."""

    detail: str


Access = Admitted | KeyRefused | Unconfirmed


class AccountAccess:
    """Decide who may send which request.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    rules : RevocationRules
        What holds for withdrawn keys.

    Attributes
    ----------
    confirmed_at_ms : int or None
        Time of the newest request to the store that has returned the
        configuration in force; None if there was none.
    """

    def __init__(
        self, clock: state.Clock, rules: RevocationRules | None = None
    ) -> None:
        self.clock = clock
        self.rules = rules or RevocationRules()
        self.configuration: state.ServingConfiguration | None = None
        self.confirmed_at_ms: int | None = None
        self.by_prefix: dict[str, list[tuple[str, str]]] = {}

    def update(self, configuration: state.ServingConfiguration) -> None:
        """Use another configuration from now on."""
        if configuration is self.configuration:
            return
        self.configuration = configuration
        self.by_prefix = {}
        for account in (configuration.accounts or {}).values():
            for digest in account.key_digests:
                row = (digest, account.name)
                self.by_prefix.setdefault(digest[:PREFIX_CHARS], []).append(
                    row
                )

    def on_confirmed(self, requested_at_ms: int) -> None:
        """Record that the store has returned the configuration in force."""
        newest = self.confirmed_at_ms
        if newest is None or newest < requested_at_ms:
            self.confirmed_at_ms = requested_at_ms

    def decide(
        self,
        key_digest: str,
        is_public: bool,
        age_ms: int,
        arrived_at_ms: int,
    ) -> Access:
        """Decide on a request.

        Parameters
        ----------
        key_digest : str
            Digest of its API key, empty without one.
        is_public : bool
            Whether its route needs no key.
        age_ms : int
            Time since the configuration is known to have been in force.
        arrived_at_ms : int
            Time at which the request arrived.
        """
        configuration = self.configuration
        if configuration is None:
            return Unconfirmed("no configuration loaded yet")
        if configuration.accounts is None:
            return Admitted(None)
        account = self._account_of(key_digest)
        if account and not self._is_too_old(age_ms):
            return Admitted(state.Caller(account))
        if is_public:
            return Admitted(state.Caller(""))
        if account:
            return Unconfirmed(
                f"configuration {configuration.version} was last confirmed "
                f"{age_ms} ms ago, keys may have been withdrawn since"
            )
        if self._is_confirmed(arrived_at_ms):
            return KeyRefused(
                "no account has this API key in configuration "
                f"{configuration.version}"
                if key_digest
                else "the route needs an API key"
            )
        return Unconfirmed(
            "no account has this API key in configuration "
            f"{configuration.version}, which may be out of date"
        )

    def _account_of(self, key_digest: str) -> str:
        """Return the account with a key, empty if there is none.

        Each digest that begins alike is compared in constant time.
        """
        found = ""
        for digest, account in self.by_prefix.get(
            key_digest[:PREFIX_CHARS], ()
        ):
            if hmac.compare_digest(digest, key_digest):
                found = account
        return found

    def _is_too_old(self, age_ms: int) -> bool:
        """Return whether a known key may have been withdrawn too long ago."""
        rules = self.rules
        return rules.is_strict and age_ms > STRICT_SHARE * rules.bound_ms

    def _is_confirmed(self, arrived_at_ms: int) -> bool:
        confirmed_at_ms = self.confirmed_at_ms
        if confirmed_at_ms is None:
            return False
        return confirmed_at_ms >= arrived_at_ms - CONFIRMATION_VALID_MS
