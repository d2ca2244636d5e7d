"""Settings of `poplarloftd platform`: flags, environment, file."""

from collections import abc
import typing

import pydantic
import pydantic_settings

from poplarloft.coordination import metering
from poplarloft.protocol import addresses
from poplarloft.protocol import errors

__all__ = ["ServingSettings", "load_serving_settings", "settings_path"]

ENV_PREFIX = "POPLARLOFT_"
FILE_FLAG = "--settings-file"
MS_PER_S = 1_000


class ServingSettings(pydantic_settings.BaseSettings):
    """Settings of a daemon behind a platform's load balancer and store."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX,
        cli_kebab_case=True,
        cli_exit_on_error=False,
        cli_prog_name="poplarloftd platform",
        cli_hide_none_type=True,
        cli_avoid_json=True,
        extra="ignore",
        env_ignore_empty=True,
        frozen=True,
    )

    name: str = pydantic.Field(description="Name kept across restarts")
    duty: typing.Literal["entry", "bulk"] = pydantic.Field(
        description="Role: entry answers clients, bulk runs lots"
    )
    region: str = pydantic.Field(description="Region of the instance")
    data_centre: str = pydantic.Field(
        description="Data centre of the instance"
    )
    regions: str = pydantic.Field(
        default="",
        description="DATA-CENTRE:REGION of all data centres, comma-separated",
    )
    store: addresses.AddressText = pydantic.Field(
        description="IP number and port of the platform's store"
    )
    listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port for clients"
    )
    ready_listen: addresses.AddressText | None = pydantic.Field(
        default=None,
        description="IP number and port of the readiness endpoint",
    )
    metrics_listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port of the metrics endpoint"
    )
    peer_listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port for other daemons"
    )
    relay_listen: addresses.AddressText | None = pydantic.Field(
        default=None,
        description="IP number and port to relay store calls of other daemons",
    )
    drain_notice_ms: int = pydantic.Field(
        default=2_500,
        ge=0,
        le=600_000,
        description="Time to keep accepting after readiness turns off, in ms",
    )
    grace_s: float = pydantic.Field(
        default=8.0,
        gt=0,
        le=3_600,
        description="Time from SIGTERM to SIGKILL, in seconds",
    )
    leaving_bound_ms: int = pydantic.Field(
        default=3_000,
        ge=100,
        le=600_000,
        description="Longest time until a leaving upstream gets no new "
        "requests, in ms",
    )
    configuration_bound_ms: int = pydantic.Field(
        default=3_000,
        ge=100,
        le=600_000,
        description="Longest time to put a new configuration in force, in ms",
    )
    revocation_bound_ms: int = pydantic.Field(
        default=5_000,
        ge=100,
        le=600_000,
        description="Longest time until a withdrawn API key stops working, "
        "in ms",
    )
    revokes_strictly: bool = pydantic.Field(
        default=False,
        description="Whether that bound also holds for daemons that are cut "
        "off from the store, which then refuse all API keys",
    )
    engines_check_fence: bool = pydantic.Field(
        default=True,
        description="Whether engines reject orders with an old fencing token",
    )
    order_turn_ms: int = pydantic.Field(
        default=3_000,
        ge=0,
        le=600_000,
        description="Shortest time between orders of two daemons to an "
        "engine that checks no fencing token, in ms",
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
    infrastructure: addresses.AddressText | None = pydantic.Field(
        default=None,
        description="IP number and port of the platform's interface for "
        "metering and capacity",
    )
    metering_window_s: float | None = pydantic.Field(
        default=None,
        gt=0,
        le=86_400,
        description="Span of Unix time for which the requests of each "
        "account are counted, in s",
    )
    metering_due_s: float = pydantic.Field(
        default=10.0,
        gt=0,
        le=86_400,
        description="Time after a span in which its counts are to be "
        "reported, in s",
    )
    lot_kept_s: float = pydantic.Field(
        default=120.0,
        gt=0,
        description="Time that a lot is readable after its submission, in s",
    )

    def metering_rules(self) -> metering.MeteringRules | None:
        """Return when usage is to be reported, None if it is not."""
        if self.infrastructure is None or self.metering_window_s is None:
            return None
        return metering.MeteringRules(
            int(self.metering_window_s * MS_PER_S),
            int(self.metering_due_s * MS_PER_S),
        )

    def region_by_data_centre(self) -> dict[str, str]:
        """Return the region of each data centre, its own included."""
        pairs = [p.split(":") for p in self.regions.split(",") if ":" in p]
        region_by_name = {pair[0]: pair[1] for pair in pairs}
        return {**region_by_name, self.data_centre: self.region}


def load_serving_settings(arguments: abc.Sequence[str]) -> ServingSettings:
    """Return the settings from flags, the environment and the file.

    Flags take precedence over environment variables, and these over the
    settings file.

    Raises
    ------
    FieldError
        If a setting is missing or not allowed. Names the flag, its value
        and what is allowed.
    """
    flags = list(arguments)
    path = settings_path(flags)
    if FILE_FLAG in flags:
        position = flags.index(FILE_FLAG)
        del flags[position : position + 2]
    try:
        return ServingSettings(  # type: ignore[call-arg]
            _cli_parse_args=flags, _env_file=path
        )
    except pydantic.ValidationError as error:
        failure = errors.first_field_error(error)
        flag = "--" + failure.field.partition(".")[0].replace("_", "-")
        raise errors.FieldError(flag, failure.reason) from None
    except pydantic_settings.SettingsError as error:
        raise errors.FieldError("flags", str(error)) from None


def settings_path(arguments: abc.Sequence[str]) -> str | None:
    """Return the path after `--settings-file`, or None without one."""
    if FILE_FLAG not in arguments:
        return None
    position = arguments.index(FILE_FLAG)
    return arguments[position + 1] if position + 1 < len(arguments) else None
