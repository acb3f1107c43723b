"""Show that tests fail when the mechanism that they prove is taken out.

``python -m proofs.red`` copies the tree to a temporary folder for each mutation of the table,
replaces one text there, runs the tests named and says ``red`` if every one of them failed, or
``NOT RED`` with those that passed. ``python -m proofs.red NAME ...`` runs some mutations only.
Not part of CI: it takes minutes, and its verdicts change only with the table.
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
FAILED = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)


class ProofError(Exception):
    """A mutation can't be tried, or its tests could not be run."""


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """What one mutation's run showed.

    :ivar passed: tests that did not fail though the mechanism was out.
    """

    mutation: Mutation
    passed: list[str]
    seconds: float
    reasons: list[str]

    @property
    def is_red(self) -> bool:
        """Whether every test named failed."""
        return not self.passed

    def line(self) -> str:
        """Return the verdict for the reader."""
        verdict = "red" if self.is_red else f"NOT RED: {' '.join(self.passed)}"
        return f"{self.mutation.name}: {verdict} ({self.seconds:.0f} s)"


def apply(mutation: Mutation, root: Path) -> None:
    """Replace the text of a mutation in a copy of the tree.

    :raises ProofError: if the text is not there exactly once.
    """
    path = root / mutation.file
    source = path.read_text(encoding="utf-8")
    count = source.count(mutation.text)
    if count != 1:
        raise ProofError(f"{mutation.name}: the text stands {count} times in {mutation.file}")
    path.write_text(source.replace(mutation.text, mutation.replacement), encoding="utf-8")


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


def try_out(mutation: Mutation) -> Verdict:
    """Apply one mutation to a copy of the tree and run its tests there."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="proofs-") as folder:
        root = Path(folder)
        copy_tree(root)
        apply(mutation, root)
        output = run_tests(root, mutation.tests)
    failed = FAILED.findall(output)
    passed = [test for test in mutation.tests if not any(f.startswith(test) for f in failed)]
    reasons = [line for line in output.splitlines() if line.startswith(("FAILED", "ERROR"))]
    return Verdict(
        mutation=mutation, passed=passed, seconds=time.monotonic() - began, reasons=reasons
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
        for mutation in choose(sys.argv[1:]):
            verdicts.append(try_out(mutation))
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
