"""Settings of `poplarloftd platform`: flags, environment, settings file."""

from collections import abc
import typing

import pydantic
import pydantic_settings

from poplarloft.protocol import addresses
from poplarloft.protocol import errors

__all__ = ["ServingSettings", "load_serving_settings", "settings_path"]

ENV_PREFIX = "POPLARLOFT_"
FILE_FLAG = "--settings-file"


class ServingSettings(pydantic_settings.BaseSettings):
    """Settings of a daemon behind a platform's balancer and store."""

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
        description="entry answers clients, bulk runs lots"
    )
    region: str = pydantic.Field(description="Region of the instance")
    data_centre: str = pydantic.Field(
        description="Data centre of the instance"
    )
    regions: str = pydantic.Field(
        default="",
        description="DATA-CENTRE:REGION pairs of all places, by commas",
    )
    store: addresses.AddressText = pydantic.Field(
        description="IP number and port of the platform's store"
    )
    listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port for clients"
    )
    ready_listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port of the readiness answer"
    )
    metrics_listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port of the metrics page"
    )
    peer_listen: addresses.AddressText | None = pydantic.Field(
        default=None, description="IP number and port for other daemons"
    )
    relay_listen: addresses.AddressText | None = pydantic.Field(
        default=None,
        description="IP number and port for store calls of other daemons",
    )
    drain_notice_ms: int = pydantic.Field(
        default=2_500,
        ge=0,
        le=600_000,
        description="Time to accept after readiness went off, in ms",
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
        description="Time until a leaving upstream must get nothing new",
    )
    configuration_bound_ms: int = pydantic.Field(
        default=3_000,
        ge=100,
        le=600_000,
        description="Time until a new configuration must be in force",
    )
    lot_kept_s: float = pydantic.Field(
        default=120.0,
        gt=0,
        description="Time that a lot can be read after its submission",
    )

    def region_by_data_centre(self) -> dict[str, str]:
        """Return the region of each data centre."""
        pairs = [p.split(":") for p in self.regions.split(",") if ":" in p]
        known = {pair[0]: pair[1] for pair in pairs}
        return {**known, self.data_centre: self.region}


def load_serving_settings(arguments: abc.Sequence[str]) -> ServingSettings:
    """Return the settings from flags, variables, then the settings file.

    Raises
    ------
    FieldError
        Naming the flag, its value and what is allowed.
    """
    rest = list(arguments)
    path = settings_path(rest)
    if FILE_FLAG in rest:
        at = rest.index(FILE_FLAG)
        del rest[at : at + 2]
    try:
        return ServingSettings(  # type: ignore[call-arg]
            _cli_parse_args=rest, _env_file=path
        )
    except pydantic.ValidationError as error:
        failure = errors.first_field_error(error)
        flag = "--" + failure.field.partition(".")[0].replace("_", "-")
        raise errors.FieldError(flag, failure.reason) from None
    except pydantic_settings.SettingsError as error:
        raise errors.FieldError("flags", str(error)) from None


def settings_path(arguments: abc.Sequence[str]) -> str | None:
    """Return the settings file that the flags name, None without one."""
    if FILE_FLAG not in arguments:
        return None
    at = arguments.index(FILE_FLAG)
    return arguments[at + 1] if at + 1 < len(arguments) else None
