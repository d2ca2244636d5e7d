"""What one configuration changes against another."""

from collections import abc
import dataclasses
import typing

from poplarloft import state

__all__ = ["Difference", "find_differences"]

KEYS_FIELD = "key_digests"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A difference between two configurations.

    Parameters
    ----------
    place : str
        The entry or field, as a path of names.
    before, after : str or None
        Its values; None where there is none.
    """

    place: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"{self.place}: new, {self.after}"
        if self.after is None:
            return f"{self.place}: gone, was {self.before}"
        return f"{self.place}: {self.before} -> {self.after}"


def find_differences(
    before: state.ServingConfiguration, after: state.ServingConfiguration
) -> list[Difference]:
    """Return what differs, by routes, services, limits and accounts.

    Of keys only the numbers are told.
    """
    differences = []
    if before.version != after.version:
        differences.append(
            Difference("version", str(before.version), str(after.version))
        )
    for kind, old, new in (
        ("routes", _by_name(before.routes), _by_name(after.routes)),
        ("services", before.services, after.services),
        ("limits", {"": before.limits}, {"": after.limits}),
        ("accounts", before.accounts or {}, after.accounts or {}),
    ):
        differences += _entry_differences(kind, old, new)
    if (before.accounts is None) != (after.accounts is None):
        differences.append(
            Difference("keys", _needs_keys(before), _needs_keys(after))
        )
    return differences


def _needs_keys(configuration: state.ServingConfiguration) -> str:
    return "not needed" if configuration.accounts is None else "needed"


def _by_name(
    routes: abc.Iterable[state.PathRoute],
) -> dict[str, state.PathRoute]:
    return {route.name: route for route in routes}


def _entry_differences(
    kind: str, old: abc.Mapping[str, object], new: abc.Mapping[str, object]
) -> abc.Iterator[Difference]:
    for name in dict.fromkeys((*old, *new)):
        place = f"{kind}.{name}" if name else kind
        if name not in new:
            yield Difference(place, _summary(old[name]), None)
        elif name not in old:
            yield Difference(place, None, _summary(new[name]))
        else:
            yield from _field_differences(place, old[name], new[name])


def _field_differences(
    place: str, old: typing.Any, new: typing.Any
) -> abc.Iterator[Difference]:
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name == KEYS_FIELD:
            yield from _key_differences(place, before, after)
        elif dataclasses.is_dataclass(before) and type(before) is type(after):
            yield from _field_differences(
                f"{place}.{field.name}", before, after
            )
        else:
            yield Difference(
                f"{place}.{field.name}", _text(before), _text(after)
            )


def _key_differences(
    place: str, before: abc.Iterable[str], after: abc.Iterable[str]
) -> abc.Iterator[Difference]:
    added = len(set(after) - set(before))
    withdrawn = len(set(before) - set(after))
    if added:
        yield Difference(f"{place}.keys", None, f"{added} added")
    if withdrawn:
        yield Difference(f"{place}.keys", f"{withdrawn} withdrawn", None)


def _summary(entry: typing.Any) -> str:
    """Return the fields of an entry that differ from their defaults."""
    parts = []
    for field in dataclasses.fields(entry):
        value = getattr(entry, field.name)
        if field.name == KEYS_FIELD:
            parts.append(f"{len(value)} keys")
        elif field.name != "name" and value != field.default:
            parts.append(f"{field.name} {_text(value)}")
    return ", ".join(parts)


def _text(value: object) -> str:
    """Return a value as operators read it."""
    if isinstance(value, state.RouteKind):
        return value.value
    if isinstance(value, tuple):
        return ", ".join(_text(part) for part in value)
    if isinstance(value, state.Target):
        return f"{value.service} (weight {value.weight:g})"
    return str(value)
