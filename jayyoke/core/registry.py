"""Registry of plug-ins; each plug-in module registers one function when it is imported."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import Any

from jayyoke.core.error import JayyokeError

_KINDS = ("policy", "class", "protocol")
_plugins: dict[tuple[str, str], Callable[..., Any]] = {}
_loaded: set[str] = set()
PLUGIN_PACKAGE = "jayyoke.plugins"


class UnknownPlugin(JayyokeError):
    """Reports a plug-in name that no module registers."""


def register(kind: str, name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that registers a function as the plug-in of this kind and name."""
    if kind not in _KINDS:
        raise UnknownPlugin(f"plug-in kind {kind!r} does not exist; kinds are {_KINDS}")

    def decorate(function: Callable[..., Any]) -> Callable[..., Any]:
        _plugins[(kind, name)] = function
        return function

    return decorate


def load_plugins(package: str = PLUGIN_PACKAGE) -> None:
    """Import every module of the package, so that its plug-ins register themselves."""
    if package in _loaded:
        return
    _loaded.add(package)
    parent = importlib.import_module(package)
    for module in pkgutil.iter_modules(parent.__path__):
        if module.name.endswith("_test"):
            continue
        importlib.import_module(f"{package}.{module.name}")


def find_plugin(kind: str, name: str) -> Callable[..., Any]:
    """Return a registered plug-in; raise UnknownPlugin if there is none.

    The product's plug-ins are imported at the first call.
    """
    load_plugins()
    try:
        return _plugins[(kind, name)]
    except KeyError:
        known = ", ".join(list_plugins(kind)) or "none"
        raise UnknownPlugin(f"{kind} plug-in {name!r} does not exist; known: {known}") from None


def list_plugins(kind: str) -> tuple[str, ...]:
    """Return the registered names of one kind, sorted."""
    load_plugins()
    return tuple(sorted(name for registered, name in _plugins if registered == kind))
