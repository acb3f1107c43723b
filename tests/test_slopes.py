"""The arithmetic of the slopes; the measurements themselves are run by hand."""

from __future__ import annotations

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import AfterPreprocessing, Equals, MatchesListwise

from bench._slopes_config import make_configuration, make_document
from bench._slopes_figures import Figure, Sample, fit_line, summarize
from bench.slopes import MEASURES, RESULTS, Result
from zincwell.document import parse_document


def equals_about(value: float):
    return AfterPreprocessing(lambda found: round(found, 6), Equals(value))


def test_line_through_two_sizes_is_found():
    sizes = [(1, 1), (3, 10), (40, 100), (300, 1_200)]
    costs = [50 + 7 * messages + 2 * tasks for messages, tasks in sizes]

    line = fit_line(sizes, costs)

    assert_that(line.base, equals_about(50))
    assert_that(line.slopes, MatchesListwise([equals_about(7), equals_about(2)]))


def test_runs_are_summed_up_by_name():
    samples = [Sample(name="cpu", value=value, unit="us") for value in (3.0, 1.0, 2.0)]
    samples.append(Sample(name="bytes", value=9.0, unit="bytes"))

    figures = summarize(samples)

    cpu = Figure(name="cpu", unit="us", median=2.0, low=1.0, high=3.0)
    sent = Figure(name="bytes", unit="bytes", median=9.0, low=9.0, high=9.0)
    assert_that(figures, Equals([cpu, sent]))


def test_measured_configuration_is_a_valid_one():
    document = parse_document(make_document(190))
    configuration = make_configuration(tenants=190, changes=3)

    assert_that(len(document.tenants), Equals(190))
    assert_that(configuration.version, Equals(3))


@pytest.mark.parametrize("name", sorted(path.stem for path in RESULTS.glob("*.json")))
def test_stored_result_can_be_measured_again(name: str):
    result = msgspec.json.decode((RESULTS / f"{name}.json").read_bytes(), type=Result)

    command = f"python -m bench slopes {name} --runs {result.runs}"
    assert_that((name in MEASURES, result.command), Equals((True, command)))
