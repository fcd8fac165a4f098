"""Tests that one folder holds the names of the users' platform and takes no decisions."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import grimp

ROOT = Path(__file__).parent.parent / "jayyoke"
# Parts of the platform's fields, headers and paths that no name of the product contains.
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
    "Store-Era",
)
# The lookbehind passes over the product's own names, such as Jayyoke-Deadline-Ms.
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
    def test_names_occur_in_no_other_folder(self):
        """Guards against other folders that use the platform's names."""
        wrong = []
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform" or path.name.endswith("_test.py"):
                continue
            for text in read_strings(path):
                wrong += [(path.name, found) for found in PATTERN.findall(text)]
        assert wrong == []

    def test_folder_imports_no_package_that_decides(self):
        """Guards against an adapter to the platform that takes decisions."""
        graph = grimp.build_graph("jayyoke")
        for package in ("jayyoke.edge", "jayyoke.ops", "jayyoke.server", "jayyoke.plugins"):
            assert not graph.chain_exists(
                importer="jayyoke.platform", imported=package, as_packages=True
            )
