"""Show that tests fail when the mechanism that they prove is taken out.

``python -m proofs.red`` copies the tree to a temporary folder for each mutation of the table,
replaces one text there, runs the tests named and says ``red`` if every one of them failed, or
``NOT RED`` with those that passed. The same tests first run in a copy without any mutation; if
one fails there, the mutation gets no verdict. ``python -m proofs.red NAME ...`` runs some
mutations only. Not part of CI: it takes minutes, and its verdicts change only with the table.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from proofs.mutations import MUTATIONS, Mutation

ROOT = Path(__file__).parents[1]
COPIED = ["zincwell", "tests", "pyproject.toml"]
RUN_TIMEOUT_S = 600
FAILED = re.compile(r"(?:FAILED|ERROR) (\S+)")


class ProofError(Exception):
    """A mutation can't be tried, or its tests could not be run."""


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """What one mutation's run showed.

    :ivar passed: tests that did not fail though the mechanism was out.
    :ivar broken: tests that fail without the mutation too, so that there is no verdict.
    """

    mutation: Mutation
    passed: list[str]
    seconds: float
    reasons: list[str]
    broken: list[str]

    @property
    def is_red(self) -> bool:
        """Whether every test named failed."""
        return not self.passed and not self.broken

    def line(self) -> str:
        """Return the verdict for the reader."""
        if self.broken:
            return f"{self.mutation.name}: NO VERDICT, fail unmutated: {' '.join(self.broken)}"
        verdict = "red" if self.is_red else f"NOT RED: {' '.join(self.passed)}"
        return f"{self.mutation.name}: {verdict} ({self.seconds:.0f} s)"


def apply(mutation: Mutation, root: Path) -> None:
    """Replace the texts of a mutation in a copy of the tree.

    :raises ProofError: if a text is not there exactly once.
    """
    for edit in mutation.edits:
        path = root / edit.file
        source = path.read_text(encoding="utf-8")
        count = source.count(edit.text)
        if count != 1:
            raise ProofError(f"{mutation.name}: the text stands {count} times in {edit.file}")
        path.write_text(source.replace(edit.text, edit.replacement), encoding="utf-8")


def copy_tree(target: Path) -> None:
    """Copy what the tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, target / name, ignore=ignored)
        else:
            shutil.copy(source, target / name)


def run_tests(root: Path, tests: tuple[str, ...]) -> str:
    """Run tests in a copy of the tree and return what pytest printed.

    :raises ProofError: if pytest could not run them.
    """
    command = [sys.executable, "-m", "pytest", "-q", "-rfE", "-p", "no:cacheprovider", *tests]
    ran = subprocess.run(
        command, cwd=root, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )
    if ran.returncode not in (0, 1):
        raise ProofError(f"pytest ended with {ran.returncode}: {ran.stdout[-500:]}{ran.stderr}")
    return ran.stdout


def failures(tests: tuple[str, ...], mutation: Mutation | None) -> list[str]:
    """Run tests in a copy of the tree and return pytest's line of each that failed.

    :param mutation: applied to the copy; None for the tree as it is.
    :raises ProofError: if the mutation does not fit or the tests could not be run.
    """
    with tempfile.TemporaryDirectory(prefix="proofs-") as folder:
        root = Path(folder)
        copy_tree(root)
        if mutation is not None:
            apply(mutation, root)
        output = run_tests(root, tests)
    return [line for line in output.splitlines() if FAILED.match(line)]


def has_failed(test: str, lines: list[str]) -> bool:
    """Tell whether a test, or one of the file named, is among the failures."""
    return any(FAILED.match(line).group(1).startswith(test) for line in lines)


class Baseline:
    """Failures of tests in the tree as it is, each asked for once.

    Without it, a test that fails anyway would count as proof of any mechanism.
    """

    def __init__(self) -> None:
        self._is_broken_by_test: dict[str, bool] = {}

    def broken(self, tests: tuple[str, ...]) -> list[str]:
        """Return those of the tests that fail without a mutation."""
        unknown = tuple(test for test in tests if test not in self._is_broken_by_test)
        lines = failures(unknown, None) if unknown else []
        for test in unknown:
            self._is_broken_by_test[test] = has_failed(test, lines)
        return [test for test in tests if self._is_broken_by_test[test]]


def try_out(mutation: Mutation, baseline: Baseline) -> Verdict:
    """Apply one mutation to a copy of the tree and run its tests there."""
    began = time.monotonic()
    broken = baseline.broken(mutation.tests)
    reasons = [] if broken else failures(mutation.tests, mutation)
    return Verdict(
        mutation=mutation,
        passed=[test for test in mutation.tests if not has_failed(test, reasons)],
        seconds=time.monotonic() - began,
        reasons=reasons,
        broken=broken,
    )


def choose(names: list[str]) -> list[Mutation]:
    """Return the mutations whose names start with one of those given; all for none.

    :raises ProofError: if a name fits none.
    """
    for name in names:
        if not any(mutation.name.startswith(name) for mutation in MUTATIONS):
            raise ProofError(f"no mutation {name!r}")
    return [one for one in MUTATIONS if not names or one.name.startswith(tuple(names))]


def main() -> None:
    """Try the mutations named on the command line; exit 1 if one is not red."""
    try:
        verdicts = []
        baseline = Baseline()
        for mutation in choose(sys.argv[1:]):
            verdicts.append(try_out(mutation, baseline))
            print(verdicts[-1].line(), flush=True)
            for reason in verdicts[-1].reasons:
                print(f"    {reason[:160]}", flush=True)
    except ProofError as error:
        sys.exit(f"error: {error}")
    red = sum(verdict.is_red for verdict in verdicts)
    print(f"{red} of {len(verdicts)} red")
    sys.exit(0 if red == len(verdicts) else 1)


if __name__ == "__main__":
    main()
