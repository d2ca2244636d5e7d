"""Settings of `poplarloftd`: flags, environment, reference page."""

from collections import abc
import typing

import pydantic
import pydantic_settings

from poplarloft.coordination import routing
from poplarloft.protocol import errors
from poplarloft.protocol import models

__all__ = ["DaemonSettings", "load_settings", "settings_reference"]

ENV_PREFIX = "POPLARLOFT_"

Label = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]


class DaemonSettings(pydantic_settings.BaseSettings):
    """Settings of `poplarloftd`, from flags and environment variables."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX,
        cli_kebab_case=True,
        cli_exit_on_error=False,
        cli_prog_name="poplarloftd",
        cli_hide_none_type=True,
        cli_avoid_json=True,
        frozen=True,
    )

    name: Label = pydantic.Field(description="Name kept across restarts")
    region: Label = pydantic.Field(description="Region of the instance")
    data_centre: Label = pydantic.Field(
        description="Data centre of the instance"
    )
    listen: models.AddressText = pydantic.Field(
        default="127.0.0.1:8080",
        description="IP number and port for callers and operators",
    )
    peer_listen: models.AddressText = pydantic.Field(
        default="127.0.0.1:0",
        description="IP number and port for other daemons",
    )
    peer_advertise: models.AddressText | None = pydantic.Field(
        default=None,
        description="Address announced to other daemons, if it differs",
    )
    seeds: list[models.AddressText] = pydantic.Field(
        default=[],
        description="Peer addresses of daemons to join, comma-separated",
    )
    key_value: models.AddressText = pydantic.Field(
        description="IP number and port of the key-value service"
    )
    instance_list: models.AddressText = pydantic.Field(
        description="IP number and port of the platform's instance list"
    )
    weight_store: models.AddressText | None = pydantic.Field(
        default=None, description="IP number and port of the weight store"
    )
    statsd: models.AddressText | None = pydantic.Field(
        default=None, description="IP number and UDP port for metrics"
    )
    data_dir: str | None = pydantic.Field(
        default=None,
        description="Directory for snapshots, on instances with a disk",
    )
    tls_certificate: str | None = pydantic.Field(
        default=None, description="PEM file with the certificate chain"
    )
    tls_key: str | None = pydantic.Field(
        default=None, description="PEM file with the private key"
    )
    curve_secret: str | None = pydantic.Field(
        default=None, description="File with this instance's CURVE keys"
    )
    curve_allow: str | None = pydantic.Field(
        default=None,
        description="File with the public CURVE keys of daemons, one per line",
    )
    routing_policy: str = pydantic.Field(
        default="scored",
        description="One of " + ", ".join(sorted(routing.ROUTING_POLICIES)),
    )
    max_head_bytes: int = pydantic.Field(
        default=16_384,
        ge=1_024,
        le=1_048_576,
        description="Largest request head in bytes",
    )
    head_timeout_ms: int = pydantic.Field(
        default=10_000,
        ge=10,
        le=600_000,
        description="Time for a client to send a request head, in ms",
    )
    body_timeout_ms: int = pydantic.Field(
        default=30_000,
        ge=10,
        le=600_000,
        description="Time for a client to send a request body, in ms",
    )
    idle_timeout_ms: int = pydantic.Field(
        default=60_000,
        ge=10,
        le=3_600_000,
        description="Time after which an idle connection is closed, in ms",
    )
    max_connections: int = pydantic.Field(
        default=4_000,
        ge=1,
        le=100_000,
        description="Maximum number of open client connections",
    )
    memory_mb: int | None = pydantic.Field(
        default=None,
        ge=64,
        le=1_000_000,
        description="Memory that this process may use, in MB; bounds what "
        "is held for clients",
    )
    max_descriptors: int | None = pydantic.Field(
        default=None,
        ge=100,
        le=10_000_000,
        description="Descriptors that this process may open; bounds the "
        "connections of clients",
    )
    max_concurrent: int = pydantic.Field(
        default=512,
        ge=1,
        le=100_000,
        description="Maximum number of requests in flight to upstreams",
    )
    connect_timeout_ms: int = pydantic.Field(
        default=1_000,
        ge=1,
        le=60_000,
        description="Time to connect to an upstream, in ms",
    )
    drain_notice_ms: int = pydantic.Field(
        default=2_000,
        ge=0,
        le=600_000,
        description="Time to keep accepting after readiness turns off, in ms",
    )
    drain_timeout_ms: int = pydantic.Field(
        default=60_000,
        ge=0,
        le=3_600_000,
        description="Longest time to finish requests in flight, in ms",
    )
    poll_interval_ms: int = pydantic.Field(
        default=1_000,
        ge=10,
        le=60_000,
        description="Time between polls of the platform and engines, in ms",
    )
    gossip_interval_ms: int = pydantic.Field(
        default=200,
        ge=10,
        le=60_000,
        description="Time between probes of other daemons, in ms",
    )
    usage_flush_ms: int = pydantic.Field(
        default=30_000,
        ge=100,
        le=86_400_000,
        description="Time between two entries of the usage ledger, in ms",
    )
    claim_shards: int = pydantic.Field(
        default=1,
        ge=1,
        le=1_024,
        description="Claim ledgers per window; must be equal on all instances",
    )
    claim_horizon_ms: int = pydantic.Field(
        default=600_000,
        ge=10_000,
        le=86_400_000,
        description="Maximum age of an accepted idempotency key, in ms",
    )
    key_value_calls_per_s: float = pydantic.Field(
        default=400.0,
        gt=0,
        description="Key-value calls per second of all instances together",
    )

    @pydantic.field_validator("seeds", mode="before")
    @classmethod
    def _split_seeds(cls, value: object) -> object:
        if isinstance(value, str):
            return [part for part in value.split(",") if part]
        return value

    @pydantic.field_validator("routing_policy")
    @classmethod
    def _check_routing_policy(cls, value: str) -> str:
        if value not in routing.ROUTING_POLICIES:
            allowed = ", ".join(sorted(routing.ROUTING_POLICIES))
            raise ValueError(f"expected one of {allowed}")
        return value

    @pydantic.model_validator(mode="after")
    def _check_tls_pair(self) -> "DaemonSettings":
        if (self.tls_certificate is None) != (self.tls_key is None):
            raise ValueError(
                "tls_certificate and tls_key must be given together"
            )
        return self


def load_settings(arguments: abc.Sequence[str]) -> DaemonSettings:
    """Return the settings; flags take precedence over the environment.

    Raises
    ------
    FieldError
        If a setting is missing or not allowed. Names the flag, its value
        and what is allowed.
    """
    try:
        return DaemonSettings(_cli_parse_args=list(arguments))  # type: ignore
    except pydantic.ValidationError as error:
        failure = models.first_field_error(error)
        field = failure.field.partition(".")[0]
        raise errors.FieldError(_flag(field), failure.reason) from None
    except pydantic_settings.SettingsError as error:
        raise errors.FieldError("flags", str(error)) from None


def settings_reference() -> str:
    """Return the reference page of the settings in Markdown."""
    lines = [
        "# Settings of poplarloftd",
        "",
        "    poplarloftd --name entry-1 --region norte"
        " --data-centre norte-a \\",
        "        --key-value 10.0.0.5:7000 --instance-list 10.0.0.5:7001",
        "",
        "A flag takes precedence over its variable. On a value that is not",
        "allowed the daemon exits with code 2 and one line on standard error.",
        "The table is generated by `poplarloft settings`; CI compares it.",
        "",
        "| flag | variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for field, info in DaemonSettings.model_fields.items():
        default = "required" if info.is_required() else f"`{info.default}`"
        variable = ENV_PREFIX + field.upper()
        lines.append(
            f"| `{_flag(field)}` | `{variable}` | {default} "
            f"| {info.description} |"
        )
    return "\n".join(lines) + "\n"


def _flag(field: str) -> str:
    return "--" + field.replace("_", "-")
