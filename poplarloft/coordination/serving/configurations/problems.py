"""Entries without effect, and limits that contradict each other."""

from collections import abc
import dataclasses
import enum

from poplarloft import state

__all__ = ["Problem", "ProblemKind", "find_problems"]


class ProblemKind(enum.StrEnum):
    """What is wrong with an entry."""

    NEVER_MATCHES = "never-matches"
    CONTRADICTION = "contradiction"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem of a configuration.

    Parameters
    ----------
    kind : ProblemKind
        What is wrong.
    place : str
        The entry, as a path of names.
    detail : str
        What was found, and what was expected.
    """

    kind: ProblemKind
    place: str
    detail: str


def find_problems(
    configuration: state.ServingConfiguration,
) -> list[Problem]:
    """Return the problems of a configuration, in the order of its entries."""
    return [
        *_route_problems(configuration),
        *_service_problems(configuration),
        *_limit_problems(configuration.limits),
        *_account_problems(configuration),
    ]


def _never_matches(place: str, detail: str) -> Problem:
    return Problem(ProblemKind.NEVER_MATCHES, place, detail)


def _contradiction(place: str, detail: str) -> Problem:
    return Problem(ProblemKind.CONTRADICTION, place, detail)


def _route_problems(
    configuration: state.ServingConfiguration,
) -> abc.Iterator[Problem]:
    first_names: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        place = f"routes.{route.name}"
        first = first_names.setdefault((route.host, route.prefix), route.name)
        if first != route.name:
            yield _never_matches(
                place,
                f"host {route.host!r} and prefix {route.prefix!r} are those "
                f"of route {first!r}, which comes first",
            )
        if not route.prefix.startswith("/"):
            yield _never_matches(
                place, f"prefix {route.prefix!r}, expected to begin with '/'"
            )
        if not route.host:
            yield _never_matches(place, "host is empty")
        yield from _target_problems(configuration, route, place)
        yield from _timing_problems(route, place)


def _target_problems(
    configuration: state.ServingConfiguration,
    route: state.PathRoute,
    place: str,
) -> abc.Iterator[Problem]:
    for target in route.targets:
        service = configuration.services.get(target.service)
        if service is None:
            yield _never_matches(
                place,
                f"service {target.service!r} is not among the services",
            )
        elif route.kind is state.RouteKind.LOTS and not service.is_engine:
            yield _contradiction(
                place, f"lots for {target.service!r}, which has no engines"
            )
        if target.weight <= 0:
            yield _never_matches(
                place,
                f"weight {target.weight:g} of {target.service!r}, "
                "expected over 0",
            )


def _timing_problems(
    route: state.PathRoute, place: str
) -> abc.Iterator[Problem]:
    is_lots = route.kind is state.RouteKind.LOTS
    if route.timeout_ms < 1:
        yield _contradiction(
            place, f"timeout of {route.timeout_ms} ms, expected 1 or more"
        )
    if route.objective_ms > route.timeout_ms:
        yield _contradiction(
            place,
            f"objective of {route.objective_ms} ms over the timeout of "
            f"{route.timeout_ms} ms",
        )
    if is_lots and route.due_ms > route.item_ttl_ms:
        yield _contradiction(
            place,
            f"results due after {route.due_ms} ms, items given up after "
            f"{route.item_ttl_ms} ms",
        )
    if route.max_attempts < 1:
        yield _contradiction(
            place, f"{route.max_attempts} attempts, expected 1 or more"
        )
    if route.resumable and route.kind is not state.RouteKind.STREAM:
        yield _contradiction(
            place, f"resumable, but of kind {route.kind.value!r}"
        )
    if route.single_version and not is_lots:
        yield _contradiction(
            place, f"single version, but of kind {route.kind.value!r}"
        )


def _service_problems(
    configuration: state.ServingConfiguration,
) -> abc.Iterator[Problem]:
    routed = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for service in configuration.services.values():
        place = f"services.{service.name}"
        if service.name not in routed:
            yield _never_matches(place, "no route leads to it")
        if service.max_connections < 1:
            yield _contradiction(
                place,
                f"{service.max_connections} connections, expected 1 or more",
            )
        if service.slots is not None and service.slots < 1:
            yield _contradiction(
                place, f"{service.slots} slots, expected 1 or more"
            )
        if service.is_engine and not service.models:
            yield _contradiction(place, "engines without a model")
        if service.scaling is not None:
            yield from _scaling_problems(service.scaling, f"{place}.scaling")


def _scaling_problems(
    scaling: state.EngineScaling, place: str
) -> abc.Iterator[Problem]:
    if not scaling.price_by_data_centre:
        yield _never_matches(place, "no data centre has a price")
    if scaling.max_count == 0:
        yield _contradiction(place, "at most 0 engines in a data centre")
    share = scaling.reclaimable_share
    if share is not None and share >= 1:
        yield _contradiction(
            place,
            f"reclaimable engines at {share:g} of the price of others, "
            "expected under 1",
        )


def _limit_problems(limits: state.ServingLimits) -> abc.Iterator[Problem]:
    for field in dataclasses.fields(limits):
        value = getattr(limits, field.name)
        if value < 1:
            yield _contradiction(
                f"limits.{field.name}", f"{value}, expected 1 or more"
            )
    if limits.head_timeout_ms > limits.idle_timeout_ms:
        yield _contradiction(
            "limits",
            f"heads may take {limits.head_timeout_ms} ms, but connections "
            f"idle for {limits.idle_timeout_ms} ms are closed",
        )


def _account_problems(
    configuration: state.ServingConfiguration,
) -> abc.Iterator[Problem]:
    if configuration.accounts is None:
        return
    if not configuration.accounts:
        for route in configuration.routes:
            if not route.is_public:
                yield _never_matches(
                    f"routes.{route.name}",
                    "needs a key, but there are no accounts",
                )
    for account in configuration.accounts.values():
        if not account.key_digests:
            yield _never_matches(f"accounts.{account.name}", "has no key")
