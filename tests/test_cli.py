"""Output and exit codes of the command-line tool against a real daemon."""

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest

from poplarloft.protocol import documents
from standins import platform
from standins import revision_store
from tests import processes
from tests import serving_fleet
from tests import test_daemon_process as helpers

pytestmark = pytest.mark.alone

OWNER, OTHER = platform.OWNERS


def run(*arguments, daemon=None, owner=OWNER):
    """Run one command; return its exit code, output and errors."""
    command = [sys.executable, "-m", "poplarloft.cli.main", *arguments]
    if daemon is not None:
        command += ["--daemon", str(daemon.address)]
        command += ["--token", platform.operator_token(owner)]
    ended = subprocess.run(command, capture_output=True, text=True)
    return ended.returncode, ended.stdout, ended.stderr


def write(folder, document):
    path = folder / f"{document.name}.json"
    path.write_bytes(documents.encode_document(document))
    return str(path)


def test_check_names_field_and_reason(tmp_path):
    good = write(tmp_path, helpers.route("find", True))
    code, output, _ = run("config", "check", good)
    assert (code, json.loads(output)["name"]) == (0, "find")
    bad = tmp_path / "bad.json"
    bad.write_text(pathlib.Path(good).read_text().replace("20000", "0"))
    code, _, errors = run("config", "check", str(bad))
    assert code == 2
    assert "route.body.timeout_ms: Input should be greater" in errors
    assert "got '0'" in errors
    assert run("config", "check", "nowhere.json")[0] == 2


def test_missing_daemon_and_host_name_are_bad_input():
    code, _, errors = run("status")
    assert code == 2 and "--daemon: is missing" in errors
    code, _, errors = run("status", "--daemon", "host:1", "--token", "t")
    assert code == 2 and "not an IP address" in errors


async def test_init_propose_accept_show_and_status(cluster, client, tmp_path):
    owners = [
        write(tmp_path, platform.owner_document(o)) for o in platform.OWNERS
    ]
    store = str(cluster.key_value.address)
    init = ("config", "init", "--key-value", store, *owners)
    assert run(*init)[:2] == (0, "first revision: applied\n")
    assert run(*init)[0] == 3
    cluster.start_upstream("plain", "plain-0", "app")
    daemon = cluster.start_daemon("entry-0")
    await processes.wait_for_status(client, daemon.address, "/readyz")
    path = write(tmp_path, helpers.route("find", True))
    code, output, _ = run("config", "propose", path, "--json", daemon=daemon)
    proposal = json.loads(output)
    assert (code, proposal["state"]) == (0, "pending")
    accept = ("config", "accept", proposal["proposal_id"], "--json")
    code, output, _ = run(*accept, daemon=daemon, owner=OTHER)
    assert (code, json.loads(output)["state"]) == (0, "in-force")
    code, _, errors = run(*accept, daemon=daemon, owner=OTHER)
    assert code == 3 and "already in-force" in errors
    code, table, _ = run("routes", daemon=daemon)
    assert code == 0 and "find" in table
    code, output, _ = run("status", "--json", daemon=daemon)
    assert json.loads(output)["upstreams"][0]["name"] == "plain-0"
    code, output, _ = run("usage", "verify", daemon=daemon)
    assert (code, output) == (0, "0 entries, last digest none\n")
    code, _, errors = run("status", daemon=daemon, owner="stranger")
    assert code == 3 and "unauthenticated" in errors
    assert run("drain", daemon=daemon)[0] == 0
    code, _ = await asyncio.to_thread(daemon.wait)
    assert code == 0
    assert run("status", daemon=daemon)[0] == 3


def test_keys_are_written_once_and_the_secret_is_not_shown(tmp_path):
    path = tmp_path / "entry.key"
    code, public, _ = run("keys", "new", str(path))
    assert code == 0
    assert path.stat().st_mode & 0o077 == 0
    assert run("keys", "show", str(path)) == (0, public, "")
    assert run("keys", "new", str(path))[0] == 2
    secret = path.read_text().split()[-1]
    assert secret not in public


def serving_file(folder, name, version=1, **changes):
    document = json.loads(serving_fleet.configuration(version))
    document["routes"][0].update(changes)
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


def test_a_configuration_of_serving_is_checked_and_compared(tmp_path):
    good = serving_file(tmp_path, "good.json")
    assert run("serving", "check", good) == (0, "", "")
    newer = serving_file(tmp_path, "newer.json", 2, timeout_ms=9_000)
    code, output, _ = run("serving", "check", newer, "--against", good)
    assert code == 0
    assert "version: 1 -> 2" in output
    assert "timeout_ms" in output
    wrong = serving_file(tmp_path, "wrong.json", timeout_ms=1, typo=1)
    code, output, _ = run("serving", "check", wrong, "--json")
    assert code == 1
    found = json.loads(output)["problems"]
    assert {problem["kind"] for problem in found} == {
        "never-matches",
        "contradiction",
    }
    code, output, _ = run("serving", "check", good, "--against", newer)
    assert code == 1
    assert "version: 1, expected over 2" in output
    refused = serving_file(tmp_path, "refused.json", version="x")
    (tmp_path / "refused.json").write_text("{}")
    code, _, errors = run("serving", "check", refused)
    assert code == 2
    assert "error: configuration" in errors


async def test_a_configuration_is_compared_with_the_store(tmp_path):
    store = revision_store.RevisionStoreStandin()
    address = await store.start()
    newer = serving_file(tmp_path, "newer.json", 2)
    arguments = ("serving", "check", newer, "--store", str(address))
    code, output, errors = await asyncio.to_thread(run, *arguments)
    assert (code, output) == (3, "")
    assert "has no configuration" in errors
    await store.put("op/config", serving_fleet.configuration(1))
    code, output, _ = await asyncio.to_thread(run, *arguments)
    assert (code, output) == (0, "differs: version: 1 -> 2\n")
    await store.stop()
    code, _, errors = await asyncio.to_thread(run, *arguments)
    assert code == 3
    assert "no answer" in errors
