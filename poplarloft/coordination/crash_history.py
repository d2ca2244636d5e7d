"""Crashes of one request, and the limits from which it is restricted."""

import dataclasses
import enum

__all__ = [
    "CrashHistory",
    "FingerprintStatus",
    "PLATFORM_POISON_SETTINGS",
    "PoisonSettings",
    "Run",
]

Run = tuple[str, int]  # name and incarnation of an upstream


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonSettings:
    """When a fingerprint is quarantined, and for how long.

    Parameters
    ----------
    sole_suspect_limit : int
        Crashes as the sole suspect after which it is quarantined.
    crash_limit : int
        Crashes in total after which it is quarantined.
    quarantine_ms : int
        Duration of the quarantine.
    retention_ms : int
        Time after which crashes and ended quarantines expire.
    isolation_ms : int
        Time after a crash for which a suspect's upstream is kept free
        of other suspects.
    max_fingerprints : int
        Number of fingerprints of which crashes are kept. Beyond it those
        with the fewest crashes are forgotten, the oldest first.
    """

    sole_suspect_limit: int = 2
    crash_limit: int = 3
    quarantine_ms: int = 3_600_000
    retention_ms: int = 600_000
    isolation_ms: int = 2_000
    max_fingerprints: int = 4_096


# Requests of many callers share the upstreams, so that several unrelated
# crashes may hit a request that has caused none.
PLATFORM_POISON_SETTINGS = PoisonSettings(sole_suspect_limit=3)


class FingerprintStatus(enum.Enum):
    """Restriction on running requests of a fingerprint.

    A clear one may run on any upstream, a suspect only on an upstream
    without other suspects. One on hold may have crashed as many upstreams
    as are allowed, which is being found out; it is refused meanwhile, as a
    quarantined one is.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ON_HOLD = "on-hold"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The crashes that count for one fingerprint.

    Parameters
    ----------
    crashes : dict of Run to bool
        The runs of upstreams that ended while it was in flight, and whether
        it was the only suspect.
    cleared : set of Run
        Those that count no more, as it has run to completion since.
    updated_at_ms : int
        Time of the newest crash.
    """

    crashes: dict[Run, bool] = dataclasses.field(default_factory=dict)
    cleared: set[Run] = dataclasses.field(default_factory=set)
    updated_at_ms: int = 0

    def counted(self) -> list[Run]:
        """Return the runs whose crashes count."""
        return [run for run in self.crashes if run not in self.cleared]

    def as_sole_suspect(self) -> int:
        """Return the number of counted crashes without another suspect."""
        return sum(self.crashes[run] for run in self.counted())
