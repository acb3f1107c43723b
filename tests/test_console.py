"""Forms of the console: editing, reviewing, publishing and concurrent changes."""

from __future__ import annotations

import copy

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    ContainsAll,
    ContainsDict,
    Equals,
    HasLength,
    Not,
    StartsWith,
)

from tests.browser import Browser
from tests.lone import DOCUMENT, SingleEntry

WEIGHT = "field/tenants/school/weight"
TARGET = "field/pools/braille/queue_target_ms"
SCRIPT = "<script>alert(1)</script>"


async def test_edit_review_publish(lone: SingleEntry, browser: Browser):
    shown = await browser.open_section("tenants")
    review = await browser.review(shown, **{WEIGHT: "4.5"})
    done = await browser.post("publish", review.fields("publish"), note="exam week")

    value = copy.deepcopy(DOCUMENT)
    value["tenants"]["school"]["weight"] = 4.5
    verdict = lone.entry.configuration.changes_since(0)[0]
    assert_that(review.text, ContainsAll(["-weight = 2.0", "+weight = 4.5", "[pools.braille]"]))
    assert_that(done.url, Equals("/console?published=1"))
    assert_that(done.text, ContainsAll(["juma", "exam week", "tenants.school.weight"]))
    assert_that(lone.entry.configuration.value, Equals(value))
    assert_that((verdict.by, verdict.note), Equals(("juma", "exam week")))


async def test_every_section_shows_what_is_in_force(browser: Browser):
    expected_by_section = {
        "services": ("field/services/transcriber/pool", "braille"),
        "pools": (TARGET, "1500"),
        "tenants": (WEIGHT, "2.0"),
        "general": ("field/domains", "kariakoo"),
    }
    for section, (name, value) in expected_by_section.items():
        shown = await browser.open_section(section)
        assert_that(shown.fields("edit")[name], Equals(value))
    urgencies = await browser.open_section("urgencies")
    assert_that(urgencies.text, ContainsAll(["max_run_ms", "max_queue_ms", "weight"]))


async def test_draft_goes_through_all_sections(lone: SingleEntry, browser: Browser):
    """Values typed in several sections stay in the draft and are published as one change."""
    page = await browser.open_section("pools")
    page = await browser.post(
        "edit",
        page.fields("edit"),
        **{TARGET: "900", "field/pools/braille/guards": "false", "action": "section:urgencies"},
    )
    page = await browser.post("edit", page.fields("edit"), new_name="lesson", action="add")
    run, queue = "field/urgencies/lesson/max_run_ms", "field/urgencies/lesson/max_queue_ms"
    page = await browser.post(
        "edit", page.fields("edit"), **{run: "5000", queue: "300", "action": "section:tenants"}
    )
    page = await browser.post("edit", page.fields("edit"), action="remove:school")
    page = await browser.post("edit", page.fields("edit"), action="section:general")
    page = await browser.review(
        page,
        **{
            "field/domains": "kariakoo\r\nubungo",
            "field/open_tenants": "false",
            "field/retries/budget": "0.2",
        },
    )
    await browser.post("publish", page.fields("publish"))

    expected = {
        **DOCUMENT,
        "domains": ["kariakoo", "ubungo"],
        "open_tenants": False,
        "pools": {"braille": {"queue_target_ms": 900, "guards": False}},
        "retries": {"budget": 0.2},
        "tenants": {},
        "urgencies": {"lesson": {"max_run_ms": 5000, "max_queue_ms": 300}},
    }
    assert_that(lone.entry.configuration.value, Equals(expected))


async def test_blank_field_takes_the_default(lone: SingleEntry, browser: Browser):
    review = await browser.review(await browser.open_section("pools"), **{TARGET: ""})
    await browser.post("publish", review.fields("publish"))

    assert_that(lone.entry.configuration.value["pools"], Equals({"braille": {}}))


@pytest.mark.parametrize("typed", ["soon", "-1", "0", "1.5", "9" * 400, "1e400", SCRIPT, '"'])
async def test_error_is_shown_at_its_field_and_typed_text_is_kept(
    lone: SingleEntry, browser: Browser, typed: str
):
    """An invalid value is kept as typed, also while other sections are shown.

    Failure: the operator has to type the whole section again. The form is filled from a document
    that can't hold invalid values.
    """
    shown = await browser.open_section("pools")
    faulty = await browser.review(shown, **{TARGET: typed})
    other = await browser.post("edit", faulty.fields("edit"), action="section:tenants")
    back = await browser.post("edit", other.fields("edit"), action="section:pools")

    assert_that(faulty.status, Equals(400))
    assert_that(other.text, Contains("Pools of workers (1 wrong)"))
    for page in (faulty, back):
        assert_that(page.fields("edit")[TARGET], Equals(typed))
        assert_that(page.errors, HasLength(1))
        assert_that(page.errors[0], StartsWith("Expected `int`"))
    assert_that(faulty.text, Not(Contains(SCRIPT)))
    assert_that(lone.entry.configuration.version, Equals(0))


async def test_all_faults_are_shown_and_a_good_value_ends_them(browser: Browser):
    shown = await browser.open_section("pools")
    share = "field/pools/braille/eject_share"
    faulty = await browser.review(shown, **{TARGET: "soon", share: "2"})
    mended = await browser.review(faulty, **{TARGET: "10", share: "0.5"})

    assert_that(faulty.errors, HasLength(2))
    assert_that((mended.status, mended.errors), Equals((200, [])))


async def test_service_of_a_removed_pool_is_reported(browser: Browser):
    page = await browser.open_section("pools")
    page = await browser.post("edit", page.fields("edit"), action="remove:braille")
    faulty = await browser.review(page)

    assert_that(faulty.errors, Equals(["unknown pool 'braille'"]))
    assert_that(faulty.fields("edit")["field/services/transcriber/pool"], Equals("braille"))


@pytest.mark.parametrize("name", ["", "two words", "a/b", "school", SCRIPT])
async def test_new_name_that_is_not_allowed(browser: Browser, name: str):
    page = await browser.open_section("tenants")
    refused = await browser.post(
        "edit", page.fields("edit"), new_name=name, action="add", **{WEIGHT: "7"}
    )

    assert_that(refused.status, Equals(400))
    assert_that(refused.errors, HasLength(1))
    assert_that(refused.fields("edit"), ContainsDict({"new_name": Equals(name)}))
    assert_that(refused.fields("edit")[WEIGHT], Equals("7.0"))
    assert_that(refused.text, Not(Contains(SCRIPT)))


async def test_lost_race_and_rebase(lone: SingleEntry, browser: Browser):
    """A rejected draft shows the changes published after its base and can be rebased.

    Failure: the operator's draft is lost, or silently overwrites a colleague's change. Both start
    from the same version, the colleague publishes first, and the form knows only its own values.
    """
    review = await browser.review(await browser.open_section("tenants"), **{WEIGHT: "4.5"})
    await lone.publish({"tenants": {"radio": {"weight": 3.0}}}, change_id="theirs")

    lost = await browser.post("publish", review.fields("publish"), note="exam week")
    rebased = await browser.post("rebase", lost.fields("rebase"))
    done = await browser.post("publish", rebased.fields("publish"))

    assert_that(lost.status, Equals(409))
    told = ["Changed in between", "by asha", "tenants.radio.weight", "+weight = 4.5"]
    assert_that(lost.text, ContainsAll(told))
    assert_that(lost.fields_by_action, Not(Contains("/console/publish")))
    assert_that(rebased.fields("publish")["note"], Equals("exam week"))
    assert_that(rebased.text, Not(Contains("Changed by you and by others")))
    assert_that(done.url, Equals("/console?published=2"))
    expected = {"school": {"weight": 4.5}, "radio": {"weight": 3.0}}
    assert_that(lone.entry.configuration.value["tenants"], Equals(expected))


async def test_entry_behind_the_draft_offers_no_rebase(
    browser: Browser, monkeypatch: pytest.MonkeyPatch
):
    """A draft is never rebased onto a version older than its base.

    Failure: a published change is undone. The load balancer sends a draft to an entry that has
    not read the draft's base yet, and the entry takes any different version for a newer one.
    """
    monkeypatch.setattr("zincwell.core._publishing.VERDICT_TIMEOUT_S", 0.1)
    fields = (await browser.open_section("tenants")).fields("edit")
    fields["draft"] = fields["draft"].replace('"base":0', '"base":7')

    review = await browser.post("edit", fields, action="review", **{WEIGHT: "4.5"})
    refused = await browser.post("publish", review.fields("publish"), note="exam week")
    kept = await browser.post("rebase", review.fields("publish"))

    for page in (review, refused, kept):
        assert_that(page.text, Contains("has read up to version 0"))
        assert_that(page.fields_by_action, Not(Contains("/console/rebase")))
        assert_that(page.text, Contains("+weight = 4.5"))
    assert_that(refused.fields("publish")["note"], Equals("exam week"))


async def test_race_seen_at_the_review(lone: SingleEntry, browser: Browser):
    shown = await browser.open_section("tenants")
    await lone.publish({"tenants": {"radio": {}}}, change_id="theirs")

    review = await browser.review(shown, **{WEIGHT: "4.5"})

    assert_that(review.text, Contains("Changed in between"))
    assert_that(review.fields_by_action, ContainsAll(["/console/rebase", "/console/edit"]))


async def test_rebase_shows_conflicting_changes(lone: SingleEntry, browser: Browser):
    review = await browser.review(await browser.open_section("tenants"), **{WEIGHT: "4.5"})
    await lone.publish({"tenants": {"school": {"weight": 9.0}}}, change_id="theirs")

    lost = await browser.post("publish", review.fields("publish"))
    rebased = await browser.post("rebase", lost.fields("rebase"))

    told = ["Changed by you and by others", "<code>4.5</code>", "<code>9.0</code>", "-weight = 9.0"]
    assert_that(rebased.text, ContainsAll(told))


async def test_rebase_onto_a_removal_shows_the_fault(lone: SingleEntry, browser: Browser):
    """A changed field of a service that others removed is shown as a fault, not published.

    Failure: a service with missing fields is published. One operator edits a field of a service,
    another removes the service, and the merge restores that field without the others.
    """
    run_ms = "field/services/labels/run_ms"
    await lone.publish({"services": {"labels": {"pool": "braille"}}}, change_id="labels")
    review = await browser.review(await browser.open_section("services"), **{run_ms: "50"})
    await lone.publish({"services": {"labels": None}}, change_id="theirs")

    lost = await browser.post("publish", review.fields("publish"))
    rebased = await browser.post("rebase", lost.fields("rebase"))

    assert_that(lost.text, Contains("removed"))
    assert_that(rebased.status, Equals(400))
    assert_that(rebased.fields("edit")[run_ms], Equals("50"))
    assert_that(rebased.errors, Equals(["Missing, a value is required"]))


async def test_log_outage_keeps_the_draft_and_publishing_again_counts_once(
    lone: SingleEntry, browser: Browser, monkeypatch: pytest.MonkeyPatch
):
    """Publishing a draft again after an unknown verdict is the same change.

    Failure: the second attempt undoes a change published after the first. The log stores the
    change but does not answer, another operator changes the same field, and the form is sent
    again as a change with a new id.
    """
    monkeypatch.setattr("zincwell.core._publishing.VERDICT_TIMEOUT_S", 0.2)
    monkeypatch.setattr("zincwell.adapters._platform.CALL_TIMEOUT_S", 0.5)
    review = await browser.review(await browser.open_section("tenants"), **{WEIGHT: "4.5"})
    lone.log.down = True
    unknown = await browser.post("publish", review.fields("publish"), note="exam week")
    lone.log.down = False
    monkeypatch.undo()
    again = await browser.post("publish", unknown.fields("publish"))
    await lone.publish({"tenants": {"school": {"weight": 9.0}}}, change_id="theirs")
    third = await browser.post("publish", unknown.fields("publish"))

    assert_that(unknown.status, Equals(503))
    assert_that(unknown.text, Contains("may be in force"))
    assert_that(unknown.fields("publish")["note"], Equals("exam week"))
    assert_that([again.url, third.url], Equals(["/console?published=1"] * 2))
    assert_that(lone.entry.configuration.value["tenants"]["school"]["weight"], Equals(9.0))


async def test_review_of_nothing_changed_offers_nothing_to_publish(browser: Browser):
    review = await browser.review(await browser.open_section("tenants"))

    assert_that(review.status, Equals(200))
    assert_that(review.fields_by_action, Not(Contains("/console/publish")))


@pytest.mark.parametrize("draft", ["", "{}", "[" * 5000, '{"base":0,"before":{},"document":7}'])
async def test_form_without_a_draft(browser: Browser, draft: str):
    fields = (await browser.open_section("tenants")).fields("edit")
    for path in ("edit", "publish", "rebase"):
        refused = await browser.post(path, fields, draft=draft)
        assert_that(refused.status, Equals(400))


@pytest.mark.parametrize("document", ['{"services":7}', '{"pools":{"a":7}}', '{"tenants":null}'])
async def test_draft_with_values_of_wrong_types_is_shown_with_its_faults(
    browser: Browser, document: str
):
    fields = (await browser.open_section("tenants")).fields("edit")
    draft = f'{{"base":0,"before":{{}},"document":{document}}}'
    for path in ("edit", "publish"):
        refused = await browser.post(path, fields, draft=draft, action="review")
        assert_that(refused.status, Equals(400))
        assert_that(refused.errors, Not(HasLength(0)))


async def test_unknown_section_is_refused(browser: Browser):
    assert_that((await browser.open_section("nowhere")).status, Equals(400))
