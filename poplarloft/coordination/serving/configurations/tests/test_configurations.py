"""Problems of a configuration, and differences between two."""

import dataclasses

import pytest

from poplarloft.coordination.serving import configurations
from poplarloft import state

ROUTE = state.PathRoute(
    "visits",
    "h",
    "/v/",
    state.RouteKind.IDEMPOTENT,
    (state.Target("app"),),
)
LOTS = state.PathRoute(
    "lots", "h", "/l/", state.RouteKind.LOTS, (state.Target("pool"),)
)
SERVICES = {
    "app": state.ServiceInfo("app", 50),
    "pool": state.ServiceInfo(
        "pool",
        50,
        4,
        ("m",),
        state.EngineScaling(1, 4, 4_000, {"a": 1.0}, 0.2),
    ),
}
ACCOUNTS = {"x": state.ClientAccount("x", ("digest-1",))}
GOOD = state.ServingConfiguration(
    2, (ROUTE, LOTS), SERVICES, state.ServingLimits(), ACCOUNTS
)
NEVER = configurations.ProblemKind.NEVER_MATCHES
CONTRADICTION = configurations.ProblemKind.CONTRADICTION


def with_route(**changes):
    return dataclasses.replace(
        GOOD, routes=(dataclasses.replace(ROUTE, **changes), LOTS)
    )


def with_lots(**changes):
    return dataclasses.replace(
        GOOD, routes=(ROUTE, dataclasses.replace(LOTS, **changes))
    )


def with_pool(**changes):
    pool = dataclasses.replace(SERVICES["pool"], **changes)
    return dataclasses.replace(GOOD, services={**SERVICES, "pool": pool})


def with_scaling(**changes):
    scaling = SERVICES["pool"].scaling
    return with_pool(scaling=dataclasses.replace(scaling, **changes))


def with_limits(**changes):
    return dataclasses.replace(
        GOOD, limits=dataclasses.replace(GOOD.limits, **changes)
    )


def test_a_sound_configuration_has_no_problem():
    assert configurations.find_problems(GOOD) == []


@pytest.mark.parametrize(
    ("configuration", "kind", "place", "detail"),
    [
        (with_lots(prefix="/v/"), NEVER, "routes.lots", "route 'visits'"),
        (with_route(prefix="v/"), NEVER, "routes.visits", "begin with '/'"),
        (with_route(host=""), NEVER, "routes.visits", "host is empty"),
        (
            with_route(targets=(state.Target("nobody"), state.Target("app"))),
            NEVER,
            "routes.visits",
            "'nobody' is not among the services",
        ),
        (
            with_route(targets=(state.Target("app", 0.0),)),
            NEVER,
            "routes.visits",
            "weight 0 of 'app'",
        ),
        (
            with_lots(targets=(state.Target("app"), state.Target("pool"))),
            CONTRADICTION,
            "routes.lots",
            "no engines",
        ),
        (
            with_route(objective_ms=40_000),
            CONTRADICTION,
            "routes.visits",
            "objective of 40000 ms over the timeout of 30000 ms",
        ),
        (
            with_route(timeout_ms=0, objective_ms=0),
            CONTRADICTION,
            "routes.visits",
            "timeout of 0 ms",
        ),
        (
            with_lots(due_ms=9_000, item_ttl_ms=8_000),
            CONTRADICTION,
            "routes.lots",
            "due after 9000 ms, items given up after 8000 ms",
        ),
        (
            with_route(max_attempts=0),
            CONTRADICTION,
            "routes.visits",
            "0 attempts",
        ),
        (
            with_route(resumable=True),
            CONTRADICTION,
            "routes.visits",
            "resumable, but of kind 'idempotent'",
        ),
        (
            with_route(single_version=True),
            CONTRADICTION,
            "routes.visits",
            "single version, but",
        ),
        (
            dataclasses.replace(GOOD, routes=(LOTS,)),
            NEVER,
            "services.app",
            "no route leads to it",
        ),
        (
            with_pool(max_connections=0),
            CONTRADICTION,
            "services.pool",
            "0 connections",
        ),
        (with_pool(slots=0), CONTRADICTION, "services.pool", "0 slots"),
        (with_pool(models=()), CONTRADICTION, "services.pool", "a model"),
        (
            with_scaling(price_by_data_centre={}),
            NEVER,
            "services.pool.scaling",
            "no data centre has a price",
        ),
        (
            with_scaling(min_count=0, max_count=0),
            CONTRADICTION,
            "services.pool.scaling",
            "at most 0",
        ),
        (
            with_scaling(reclaimable_share=1.5),
            CONTRADICTION,
            "services.pool.scaling",
            "1.5 of the price",
        ),
        (
            with_limits(max_body_bytes=0),
            CONTRADICTION,
            "limits.max_body_bytes",
            "0, expected 1 or more",
        ),
        (
            with_limits(head_timeout_ms=20_000),
            CONTRADICTION,
            "limits",
            "heads may take 20000 ms",
        ),
        (
            dataclasses.replace(
                GOOD, accounts={"x": state.ClientAccount("x", ())}
            ),
            NEVER,
            "accounts.x",
            "has no key",
        ),
    ],
)
def test_a_problem_is_named(configuration, kind, place, detail):
    (problem,) = configurations.find_problems(configuration)
    assert (problem.kind, problem.place) == (kind, place)
    assert detail in problem.detail


def test_without_accounts_only_public_routes_match():
    configuration = dataclasses.replace(
        with_route(is_public=True), accounts={}
    )
    (problem,) = configurations.find_problems(configuration)
    assert problem.place == "routes.lots"
    unkeyed = dataclasses.replace(GOOD, accounts=None)
    assert configurations.find_problems(unkeyed) == []


def differences(after):
    return [str(d) for d in configurations.find_differences(GOOD, after)]


def test_the_same_configuration_does_not_differ():
    assert differences(GOOD) == []


def test_fields_that_change_are_told_with_both_values():
    assert differences(with_route(timeout_ms=5_000)) == [
        "routes.visits.timeout_ms: 30000 -> 5000"
    ]
    split = (state.Target("app", 2.0), state.Target("pool"))
    assert differences(with_route(targets=split)) == [
        "routes.visits.targets: app (weight 1) -> "
        "app (weight 2), pool (weight 1)"
    ]
    assert differences(with_scaling(max_count=8)) == [
        "services.pool.scaling.max_count: 4 -> 8"
    ]
    assert differences(with_limits(idle_timeout_ms=9_000)) == [
        "limits.idle_timeout_ms: 15000 -> 9000"
    ]


def test_entries_come_and_go():
    renamed = dataclasses.replace(
        GOOD, version=3, routes=(dataclasses.replace(ROUTE, name="new"), LOTS)
    )
    assert differences(renamed) == [
        "version: 2 -> 3",
        "routes.visits: gone, was host h, prefix /v/, kind idempotent, "
        "targets app (weight 1)",
        "routes.new: new, host h, prefix /v/, kind idempotent, "
        "targets app (weight 1)",
    ]


def test_of_keys_only_numbers_are_told():
    account = state.ClientAccount("x", ("digest-2", "digest-3"), 1)
    other = state.ClientAccount("y", ("digest-4",))
    after = dataclasses.replace(GOOD, accounts={"x": account, "y": other})
    found = differences(after)
    assert found == [
        "accounts.x.keys: new, 2 added",
        "accounts.x.keys: gone, was 1 withdrawn",
        "accounts.x.priority: None -> 1",
        "accounts.y: new, 1 keys",
    ]
    assert "digest" not in "".join(found)
    unkeyed = dataclasses.replace(GOOD, accounts=None)
    assert "keys: needed -> not needed" in differences(unkeyed)
