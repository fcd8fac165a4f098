"""Tests that the users' platform is spoken in one folder, which decides nothing."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import grimp

ROOT = Path(__file__).parent.parent / "jayyoke"
# Fields, headers and paths of the platform that the product's own words never spell so.
NAMES = (
    "Worker-",
    "Prefix-Hash",
    "Token-Usage",
    "Deadline-Ms",
    "Not-Executed",
    "Expect-Worker",
    "Kv-",
    "/-/",
    "timeoutMs",
    "sloMs",
    "itlTargetMs",
    "schemaVer",
    "expectRev",
    "apiKeys",
    "healthPath",
    "warmupLeftMs",
    "nodeName",
    "portRange",
    "JAYYOKE_SETTINGS",
)
# The product's own interface has names such as Jayyoke-Deadline-Ms.
PATTERN = re.compile(r"(?<![\w-])(?:" + "|".join(map(re.escape, NAMES)) + ")")


def read_strings(path: Path) -> list[str]:
    """Return the string constants of a module, doc comments included."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            value = node.value
            found.append(value if isinstance(value, str) else value.decode("latin-1"))
    return found


class TestPlatformFolder:
    def test_names_stand_nowhere_else(self):
        """Guards against parts of the product that know the platform's names."""
        wrong = []
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform" or path.name.endswith("_test.py"):
                continue
            for text in read_strings(path):
                wrong += [(path.name, found) for found in PATTERN.findall(text)]
        assert wrong == []

    def test_folder_imports_no_decision(self):
        """Guards against an adapter that decides."""
        graph = grimp.build_graph("jayyoke")
        for package in ("jayyoke.edge", "jayyoke.ops", "jayyoke.server", "jayyoke.plugins"):
            assert not graph.chain_exists(
                importer="jayyoke.platform", imported=package, as_packages=True
            )
