"""The operators' guide lists every reason that the code can return."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import ContainsAll, Equals

ROOT = Path(__file__).parents[1]
GUIDE = ROOT / "docs" / "operators.md"
#: Position of the reason among the arguments of the functions that take one.
POSITION_BY_FUNCTION = {
    "_end": 2,
    "_not_ready": 0,
    "not_run": 1,
    "_retry": 2,
    "unknown": 1,
    "call_later": 3,
    "give_up": 1,
}
#: Not in the guide: the empty reason, and that of a job without an outcome yet.
NOT_LISTED = {"", "running"}


def list_reasons() -> set[str]:
    """Return the reasons that appear as constants in the source."""
    files = [*(ROOT / "zincwell").rglob("*.py")]
    files = [path for path in files if "standins" not in path.parts]
    trees = (ast.parse(path.read_text(encoding="utf-8")) for path in files)
    return {reason for tree in trees for reason in _find_reasons(tree)} - NOT_LISTED


def _find_reasons(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]).endswith(".reason"):
            yield from _constant(node.value)
        if not isinstance(node, ast.Call):
            continue
        for keyword in node.keywords:
            if keyword.arg == "reason":
                yield from _constant(keyword.value)
        name = ast.unparse(node.func).rpartition(".")[2]
        place = POSITION_BY_FUNCTION.get(name)
        if place is not None and len(node.args) > place:
            yield from _constant(node.args[place])


def _constant(node: ast.expr) -> Iterator[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value


def test_guide_explains_every_reason():
    text = GUIDE.read_text(encoding="utf-8")
    missing = [reason for reason in sorted(list_reasons()) if f"| `{reason}` |" not in text]

    assert_that(missing, Equals([]))


def test_reasons_are_found_in_the_source():
    found = list_reasons()

    assert_that(found, ContainsAll(["quota", "no_lease", "deadline", "worker_lost", "given_up"]))
