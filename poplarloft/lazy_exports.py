"""Re-exports of a package that are imported when they are first used.

A daemon uses few of the modules of some packages. Importing all of them,
and the libraries that they need, would take up memory.
"""

from collections import abc
import importlib
import typing

__all__ = ["attribute_getter"]


def attribute_getter(
    package: str, module_of_name: abc.Mapping[str, str]
) -> abc.Callable[[str], typing.Any]:
    """Return the ``__getattr__`` of a package.

    Parameters
    ----------
    package : str
        Name of the package.
    module_of_name : mapping of str to str
        The module of the package that has each public name.
    """

    def get_attribute(name: str) -> typing.Any:
        if name not in module_of_name:
            raise AttributeError(f"module {package!r} has no {name!r}")
        module = f"{package}.{module_of_name[name]}"
        return getattr(importlib.import_module(module), name)

    return get_attribute
