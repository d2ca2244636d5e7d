"""Who is admitted while configurations and keys change."""

import hashlib

import pytest

from poplarloft.coordination import accounts
from poplarloft import state

FRESH_MS = 100


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def configuration(version, keys_by_account):
    rows = {
        name: state.ClientAccount(name, tuple(map(digest, keys)))
        for name, keys in keys_by_account.items()
    }
    return state.ServingConfiguration(
        version, (), {}, state.ServingLimits(), rows
    )


@pytest.fixture
def clock():
    return state.ManualClock(100_000)


@pytest.fixture
def access(clock):
    made = accounts.AccountAccess(clock)
    made.update(configuration(1, {"a": ["ka", "kb"], "b": ["kc"]}))
    return made


def decide(access, key, is_public=False, age_ms=FRESH_MS):
    key_digest = digest(key) if key else ""
    return access.decide(key_digest, is_public, age_ms, access.clock.now_ms())


def test_keys_name_their_accounts(access):
    assert decide(access, "kb") == accounts.Admitted(state.Caller("a"))
    assert decide(access, "kc") == accounts.Admitted(state.Caller("b"))


def test_without_accounts_no_key_is_needed(clock):
    access = accounts.AccountAccess(clock)
    access.update(state.ServingConfiguration(1, (), {}, state.ServingLimits()))
    assert decide(access, "") == accounts.Admitted(None)


def test_without_configuration_nothing_is_known(clock):
    access = accounts.AccountAccess(clock)
    assert isinstance(decide(access, "ka"), accounts.Unconfirmed)


def test_public_routes_need_no_key(access):
    nobody = accounts.Admitted(state.Caller(""))
    assert decide(access, "", is_public=True) == nobody
    assert decide(access, "other", is_public=True) == nobody
    known = accounts.Admitted(state.Caller("a"))
    assert decide(access, "ka", is_public=True) == known


@pytest.mark.parametrize("key", ["", "other"])
def test_unknown_key_is_refused_only_once_confirmed(access, clock, key):
    assert isinstance(decide(access, key), accounts.Unconfirmed)
    access.on_confirmed(clock.now_ms())
    assert isinstance(decide(access, key), accounts.KeyRefused)
    clock.advance(2_000)
    assert isinstance(decide(access, key), accounts.Unconfirmed)


def test_unknown_keys_share_a_confirmation(access, clock):
    access.on_confirmed(clock.now_ms())
    clock.advance(200)
    assert isinstance(decide(access, "other"), accounts.KeyRefused)


def test_added_key_is_admitted_with_its_configuration(access):
    access.update(configuration(2, {"a": ["ka", "new"]}))
    assert decide(access, "new") == accounts.Admitted(state.Caller("a"))


def test_withdrawn_key_stops_with_its_configuration(access, clock):
    access.update(configuration(2, {"a": ["ka"], "b": []}))
    access.on_confirmed(clock.now_ms())
    assert isinstance(decide(access, "kb"), accounts.KeyRefused)
    assert isinstance(decide(access, "kc"), accounts.KeyRefused)
    assert decide(access, "ka") == accounts.Admitted(state.Caller("a"))


def test_cut_off_instance_admits_known_keys_unless_strict(clock):
    rows = configuration(1, {"a": ["ka"]})
    for is_strict in (False, True):
        rules = accounts.RevocationRules(5_000, is_strict)
        access = accounts.AccountAccess(clock, rules)
        access.update(rows)
        found = decide(access, "ka", age_ms=4_500)
        assert isinstance(found, accounts.Unconfirmed) is is_strict
        early = decide(access, "ka", age_ms=3_000)
        assert early == accounts.Admitted(state.Caller("a"))


def test_strict_instance_serves_public_routes_without_account(clock):
    rules = accounts.RevocationRules(5_000, True)
    access = accounts.AccountAccess(clock, rules)
    access.update(configuration(1, {"a": ["ka"]}))
    found = decide(access, "ka", is_public=True, age_ms=60_000)
    assert found == accounts.Admitted(state.Caller(""))


def test_digests_that_begin_alike_are_told_apart(clock):
    start = "ab" * 8
    rows = {
        "a": state.ClientAccount("a", (start + "0" * 48,)),
        "b": state.ClientAccount("b", (start + "1" * 48,)),
    }
    access = accounts.AccountAccess(clock)
    access.update(
        state.ServingConfiguration(1, (), {}, state.ServingLimits(), rows)
    )
    found = access.decide(start + "1" * 48, False, 0, 0)
    assert found == accounts.Admitted(state.Caller("b"))
    missing = access.decide(start + "2" * 48, False, 0, 0)
    assert isinstance(missing, accounts.Unconfirmed)
