"""Draws the import graph of the packages into docs/imports.md."""

from __future__ import annotations

from pathlib import Path

import grimp

PAGE = Path(__file__).resolve().parent.parent / "docs" / "imports.md"
ROOTS = ("jayyoke", "standin", "bench", "soak")
_HEAD = """# Import graph

An arrow points from a package to one that it imports. `make lint` checks that the graph has no
cycle, that imports go downwards only, and that the product never imports stand-ins or benchmarks.
Written by `python -m bench.imports`; a test compares the page with the code.

"""


def find_package(module: str) -> str:
    """Return the package that represents a module in the graph."""
    parts = module.split(".")
    return ".".join(parts[:2]) if parts[0] == "jayyoke" else parts[0]


def build_page() -> str:
    """Return the page with a Mermaid flow chart of the packages."""
    graph = grimp.build_graph(*ROOTS, include_external_packages=False, cache_dir=None)
    edges: set[tuple[str, str]] = set()
    for importer in sorted(graph.modules):
        if importer.endswith("_test"):
            continue
        for imported in graph.find_modules_directly_imported_by(importer):
            edge = (find_package(importer), find_package(imported))
            if edge[0] != edge[1]:
                edges.add(edge)
    lines = ["```mermaid", "flowchart TD"]
    for source, target in sorted(edges):
        lines.append(f"    {source} --> {target}")
    lines.append("```")
    return _HEAD + "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(build_page(), encoding="utf-8")
