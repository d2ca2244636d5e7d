"""Settings of `poplarloftd platform`: flags, environment, file.

They are read with `msgspec`, which the platform's messages need anyway: the
libraries of the other variant's settings would take a quarter of the memory
of a daemon.
"""

import argparse
from collections import abc
import os
import re
import typing

import dotenv
import msgspec

from poplarloft.coordination import metering
from poplarloft.protocol import addresses
from poplarloft.protocol import errors

__all__ = ["ServingSettings", "load_serving_settings", "settings_path"]

ENV_PREFIX = "POPLARLOFT_"
FILE_FLAG = "--settings-file"
MS_PER_S = 1_000
MAX_SHOWN_CHARS = 80
WHOLE_NUMBER = re.compile(r"(-?\d+)\.0+")
FIELD_OF_ERROR = re.compile(r"`\$?\.?(\w+)`$")
ADDRESSES = (
    "store",
    "listen",
    "ready_listen",
    "metrics_listen",
    "peer_listen",
    "relay_listen",
    "infrastructure",
)


class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a daemon behind a platform's load balancer and store."""

    name: typing.Annotated[
        str,
        msgspec.Meta(
            description="Name kept across restarts",
        ),
    ]
    duty: typing.Annotated[
        typing.Literal["entry", "bulk"],
        msgspec.Meta(
            description="Role: entry answers clients, bulk runs lots",
        ),
    ]
    region: typing.Annotated[
        str,
        msgspec.Meta(
            description="Region of the instance",
        ),
    ]
    data_centre: typing.Annotated[
        str,
        msgspec.Meta(
            description="Data centre of the instance",
        ),
    ]
    regions: typing.Annotated[
        str,
        msgspec.Meta(
            description="DATA-CENTRE:REGION of all data centres, comma- "
            "separated",
        ),
    ] = ""
    store: typing.Annotated[
        str,
        msgspec.Meta(
            description="IP number and port of the platform's store",
        ),
    ]
    listen: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port for clients",
            ),
        ]
        | None
    ) = None
    ready_listen: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port of the readiness endpoint",
            ),
        ]
        | None
    ) = None
    metrics_listen: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port of the metrics endpoint",
            ),
        ]
        | None
    ) = None
    peer_listen: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port for other daemons",
            ),
        ]
        | None
    ) = None
    relay_listen: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port to relay store calls of other "
                "daemons",
            ),
        ]
        | None
    ) = None
    drain_notice_ms: typing.Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=600_000,
            description="Time to keep accepting after readiness turns "
            "off, in ms",
        ),
    ] = 2_500
    grace_s: typing.Annotated[
        float,
        msgspec.Meta(
            gt=0,
            le=3600,
            description="Time from SIGTERM to SIGKILL, in seconds",
        ),
    ] = 8.0
    leaving_bound_ms: typing.Annotated[
        int,
        msgspec.Meta(
            ge=100,
            le=600_000,
            description="Longest time until a leaving upstream gets no "
            "new requests, in ms",
        ),
    ] = 3_000
    configuration_bound_ms: typing.Annotated[
        int,
        msgspec.Meta(
            ge=100,
            le=600_000,
            description="Longest time to put a new configuration in "
            "force, in ms",
        ),
    ] = 3_000
    revocation_bound_ms: typing.Annotated[
        int,
        msgspec.Meta(
            ge=100,
            le=600_000,
            description="Longest time until a withdrawn API key stops "
            "working, in ms",
        ),
    ] = 5_000
    revokes_strictly: typing.Annotated[
        bool,
        msgspec.Meta(
            description="Whether that bound also holds for daemons that "
            "are cut off from the store, which then refuse "
            "all API keys",
        ),
    ] = False
    engines_check_fence: typing.Annotated[
        bool,
        msgspec.Meta(
            description="Whether engines reject orders with an old "
            "fencing token",
        ),
    ] = True
    order_turn_ms: typing.Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=600_000,
            description="Shortest time between orders of two daemons to "
            "an engine that checks no fencing token, in ms",
        ),
    ] = 3_000
    memory_mb: (
        typing.Annotated[
            int,
            msgspec.Meta(
                ge=64,
                le=1_000_000,
                description="Memory that this process may use, in MB; bounds "
                "what is held for clients",
            ),
        ]
        | None
    ) = None
    max_descriptors: (
        typing.Annotated[
            int,
            msgspec.Meta(
                ge=100,
                le=10_000_000,
                description="Descriptors that this process may open; bounds "
                "the connections of clients",
            ),
        ]
        | None
    ) = None
    infrastructure: (
        typing.Annotated[
            str,
            msgspec.Meta(
                description="IP number and port of the platform's interface "
                "for metering and capacity",
            ),
        ]
        | None
    ) = None
    metering_window_s: (
        typing.Annotated[
            float,
            msgspec.Meta(
                gt=0,
                le=86_400,
                description="Span of Unix time for which the requests of each "
                "account are counted, in s",
            ),
        ]
        | None
    ) = None
    metering_due_s: typing.Annotated[
        float,
        msgspec.Meta(
            gt=0,
            le=86_400,
            description="Time after a span in which its counts are to be "
            "reported, in s",
        ),
    ] = 10.0
    lot_kept_s: typing.Annotated[
        float,
        msgspec.Meta(
            gt=0,
            description="Time that a lot is readable after its "
            "submission, in s",
        ),
    ] = 120.0

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


class _Parser(argparse.ArgumentParser):
    """A parser that raises `FieldError` instead of exiting."""

    def error(self, message: str) -> typing.NoReturn:
        """Raise the message as an error of the flags."""
        raise errors.FieldError("flags", message)


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
    texts = _texts(arguments)
    try:
        settings = msgspec.convert(texts, ServingSettings, strict=False)
    except msgspec.ValidationError as error:
        raise _field_error(str(error), texts) from None
    for name in ADDRESSES:
        text = getattr(settings, name)
        try:
            if text is not None:
                addresses.parse_address(text)
        except errors.ProtocolError as error:
            raise _refused(name, str(error), text) from None
    return settings


def settings_path(arguments: abc.Sequence[str]) -> str | None:
    """Return the path after `--settings-file`, or None without one."""
    if FILE_FLAG not in arguments:
        return None
    position = arguments.index(FILE_FLAG)
    return arguments[position + 1] if position + 1 < len(arguments) else None


def _texts(arguments: abc.Sequence[str]) -> dict[str, str]:
    """Return the texts of the settings that are given, by name."""
    path = settings_path(arguments)
    from_file = dotenv.dotenv_values(path, interpolate=False) if path else {}
    flags = vars(_parser().parse_args(arguments))
    texts = {}
    for name in ServingSettings.__struct_fields__:
        variable = ENV_PREFIX + name.upper()
        text = flags[name]
        if text is None:
            text = os.environ.get(variable) or from_file.get(variable)
        if text:
            # Other programs write whole numbers with a fraction.
            found = WHOLE_NUMBER.fullmatch(text)
            texts[name] = text if found is None else found[1]
    return texts


def _parser() -> _Parser:
    parser = _Parser("poplarloftd platform", allow_abbrev=False)
    parser.add_argument(FILE_FLAG, help="File with variables")
    hints = typing.get_type_hints(ServingSettings, include_extras=True)
    for name in ServingSettings.__struct_fields__:
        parser.add_argument(_flag(name), dest=name, help=_help(hints[name]))
    return parser


def _help(hint: object) -> str:
    """Return the description of a field."""
    parts = (hint, *typing.get_args(hint))
    for part in parts:
        for meta in getattr(part, "__metadata__", ()):
            return str(meta.description)
    return ""


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def _field_error(message: str, texts: dict[str, str]) -> errors.FieldError:
    """Return a validation error that names the flag and its value."""
    reason = message.partition(" - at ")[0]
    found = FIELD_OF_ERROR.search(message)
    name = found[1] if found else "settings"
    if name not in texts:
        return errors.FieldError(_flag(name), "required")
    return _refused(name, reason, texts[name])


def _refused(name: str, reason: str, text: str) -> errors.FieldError:
    shown = text[:MAX_SHOWN_CHARS]
    return errors.FieldError(_flag(name), f"{reason}, got {shown!r}")
