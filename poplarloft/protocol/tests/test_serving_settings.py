"""Settings of the platform's daemons from flags, environment and file."""

import pytest

from poplarloft.protocol import errors
from poplarloft.protocol import serving_settings

REQUIRED = [
    "--name=a",
    "--duty=entry",
    "--region=r",
    "--data-centre=z",
    "--store=127.0.0.1:7000",
]


def load(*arguments):
    return serving_settings.load_serving_settings([*REQUIRED, *arguments])


def test_defaults_hold_for_what_is_not_set():
    settings = load()
    assert settings.name == "a"
    assert settings.listen is None
    assert settings.grace_s == 8.0
    assert settings.engines_check_fence is True


def test_flags_go_before_the_environment_and_this_before_the_file(
    tmp_path, monkeypatch
):
    path = tmp_path / "settings"
    path.write_text(
        "# comment\nPOPLARLOFT_GRACE_S=1\nPOPLARLOFT_DRAIN_NOTICE_MS=1\n"
        "POPLARLOFT_LOT_KEPT_S=1\nPOPLARLOFT_UNKNOWN=1\n\n"
    )
    monkeypatch.setenv("POPLARLOFT_GRACE_S", "2")
    monkeypatch.setenv("POPLARLOFT_DRAIN_NOTICE_MS", "2")
    settings = load("--settings-file", str(path), "--grace-s", "3")
    assert settings.grace_s == 3
    assert settings.drain_notice_ms == 2
    assert settings.lot_kept_s == 1


def test_empty_values_count_as_not_set(tmp_path):
    path = tmp_path / "settings"
    path.write_text("POPLARLOFT_INFRASTRUCTURE=\nPOPLARLOFT_GRACE_S=\n")
    settings = load("--settings-file", str(path))
    assert settings.infrastructure is None
    assert settings.grace_s == 8.0


@pytest.mark.parametrize("text", ["false", "False", "0"])
def test_booleans_are_read_from_their_names(text):
    assert load(f"--engines-check-fence={text}").engines_check_fence is False


def test_whole_numbers_may_be_written_with_a_fraction():
    assert load("--drain-notice-ms=400.0").drain_notice_ms == 400


@pytest.mark.parametrize(
    "argument, named",
    [
        ("--drain-notice-ms=soon", "soon"),
        ("--drain-notice-ms=-1", "-1"),
        ("--drain-notice-ms=0.5", "0.5"),
        ("--grace-s=0", "0"),
        ("--duty=other", "other"),
        ("--listen=localhost:80", "localhost"),
        ("--listen=127.0.0.1:70000", "70000"),
        ("--engines-check-fence=maybe", "maybe"),
    ],
)
def test_values_that_are_not_allowed_are_named(argument, named):
    with pytest.raises(errors.FieldError) as caught:
        load(argument)
    assert caught.value.field == argument.partition("=")[0]
    assert named in caught.value.reason
    assert len(caught.value.reason) > len(named) + 8


def test_missing_settings_are_named():
    with pytest.raises(errors.FieldError, match="--store"):
        serving_settings.load_serving_settings(REQUIRED[:-1])


def test_unknown_flags_are_refused():
    with pytest.raises(errors.FieldError, match="--grave-s"):
        load("--grave-s=1")


def test_help_describes_each_setting(capsys):
    with pytest.raises(SystemExit) as caught:
        load("--help")
    assert caught.value.code == 0
    shown = capsys.readouterr().out
    for name in serving_settings.ServingSettings.__struct_fields__:
        assert "--" + name.replace("_", "-") in shown
    assert "withdrawn API key" in shown
