"""Access to the console: sign-in, sessions, CSRF and cross-site requests."""

from __future__ import annotations

from pathlib import Path

import aiohttp
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    ContainsAll,
    Equals,
    Not,
    StartsWith,
)

from tests.browser import Browser
from tests.lone import TOKEN, SingleEntry, open_single_entry
from zincwell.listeners._sessions import LIFETIME_S, Sessions
from zincwell.ports import Clock

WEIGHT = "field/tenants/school/weight"
SCRIPT = "<script>alert(1)</script>"


async def test_without_a_session_each_page_leads_to_the_sign_in(
    lone: SingleEntry, anonymous_browser: Browser
):
    pages = [await anonymous_browser.get(path) for path in ("/console", "/console/edit")]
    pages += [
        await anonymous_browser.post(path, {"draft": "{}"})
        for path in ("edit", "publish", "rebase", "sign-out")
    ]

    urls = [page.url for page in pages]
    assert_that(urls, AllMatch(Equals("/console/sign-in")))
    assert_that(lone.entry.configuration.version, Equals(0))


async def test_wrong_token_or_name_at_the_sign_in(anonymous_browser: Browser):
    wrong = await anonymous_browser.sign_in(token="wrong")
    unnamed = await anonymous_browser.sign_in(name=SCRIPT)
    after = await anonymous_browser.get("/console")

    assert_that(
        (wrong.status, wrong.errors), Equals((401, ["The token is not the operators' token."]))
    )
    assert_that(wrong.fields("sign-in")["name"], Equals("juma"))
    assert_that(unnamed.status, Equals(401))
    assert_that(unnamed.text, Not(Contains(SCRIPT)))
    assert_that(after.url, Equals("/console/sign-in"))


async def test_form_without_its_token_is_refused(lone: SingleEntry, browser: Browser):
    """A form without the CSRF token of the session changes nothing.

    Failure: a change is published that the operator does not know of. A signed-in operator opens
    a page of another site that posts to the console, and the browser adds the cookie.
    """
    review = await browser.review(await browser.open_section("tenants"), **{WEIGHT: "4.5"})
    fields = review.fields("publish")
    other = Sessions(token=TOKEN, clock=lone.entry.clock)
    for csrf in ("", "wrong", other.make_form_token(other.start_session("juma"))):
        for path in ("edit", "publish", "rebase", "sign-out"):
            refused = await browser.post(path, fields, csrf=csrf)
            assert_that(refused.status, Equals(403))
    del fields["csrf"]
    missing = await browser.post("publish", fields)

    assert_that(missing.status, Equals(403))
    assert_that(lone.entry.configuration.version, Equals(0))


async def test_sign_out(browser: Browser):
    overview = await browser.get("/console")
    await browser.post("sign-out", overview.fields("sign-out"))

    assert_that((await browser.get("/console")).url, Equals("/console/sign-in"))


async def test_session_of_one_entry_is_good_at_another(
    lone: SingleEntry, browser: Browser, tmp_path: Path
):
    """The load balancer may send each request to another entry; entries store no sessions."""
    shown = await browser.open_section("tenants")
    async with open_single_entry(operator_token_file=str(tmp_path / "token.txt")) as other:
        elsewhere = Browser(url=other.url, session=browser.session)
        review = await elsewhere.review(shown, **{WEIGHT: "4.5"})
        done = await elsewhere.post("publish", review.fields("publish"))

        assert_that(done.url, Equals("/console?published=1"))
        assert_that(other.entry.configuration.version, Equals(1))


async def test_session_does_not_open_the_calls_of_programs(lone: SingleEntry, browser: Browser):
    async with browser.session.get(lone.url + "/status") as response:
        assert_that(response.status, Equals(401))
    async with browser.session.post(lone.url + "/v1/drain") as response:
        assert_that(response.status, Equals(401))
    assert_that(lone.entry.drain_requested.is_set(), Equals(False))


async def test_headers_and_cookie(lone: SingleEntry, browser: Browser):
    pages = [await browser.get(f"/console{path}") for path in ("", "/edit", "/sign-in")]
    pages.append(await browser.post("publish", {}))
    pages.append(await browser.get("/console/style.css"))

    for page in pages:
        assert_that(page.headers["Content-Security-Policy"], StartsWith("default-src 'none'"))
        assert_that(page.headers["X-Frame-Options"], Equals("DENY"))
        assert_that(page.headers["Cache-Control"], Equals("no-store"))
        assert_that(page.headers["X-Content-Type-Options"], Equals("nosniff"))
        assert_that(page.tags, Not(Contains("script")))
    cookie = pages[0].headers["Set-Cookie"]
    assert_that(cookie, ContainsAll(["HttpOnly", "SameSite=Strict", "Path=/console"]))
    assert_that(cookie + "".join(page.text for page in pages), Not(Contains(TOKEN)))


async def test_text_of_others_is_escaped(lone: SingleEntry, browser: Browser):
    await lone.log._store(
        "config",
        {"kind": "change", "id": "x", "base": 0, "patch": {}, "by": SCRIPT, "note": SCRIPT},
    )
    await lone.publish({"tenants": {"radio": {}}}, change_id="next")
    overview = await browser.get("/console")

    assert_that(overview.text, Contains("&lt;script&gt;"))
    assert_that(overview.text, Not(Contains(SCRIPT)))


async def test_without_a_token_pages_of_other_sites_are_refused():
    """Without a token, a listener on a loopback address rejects cross-site requests.

    Failure: a change is published that no operator made. A page of another site in a local
    browser posts to the loopback address, or uses DNS rebinding to reach it, and the listener
    trusts every local connection.
    """
    async with open_single_entry() as lone, aiohttp.ClientSession() as session:
        port = lone.url.rpartition(":")[2]
        for headers in (
            {"Origin": "http://evil.example"},
            {"Origin": "null"},
            {"Host": f"evil.example:{port}"},
        ):
            for path in ("/v1/drain", "/console/sign-in"):
                async with session.post(lone.url + path, headers=headers) as response:
                    assert_that(response.status, Equals(403))
        async with session.post(
            lone.url + "/console/sign-in",
            data={"name": "juma"},
            headers={"Origin": lone.url},
            allow_redirects=False,
        ) as response:
            assert_that(response.headers["Location"], Equals("/console"))
        assert_that(lone.entry.drain_requested.is_set(), Equals(False))


class FixedClock(Clock):
    """Clock that returns a fixed time until it is changed."""

    def __init__(self, *, now: float):
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def test_cookie_expires_and_can_not_be_forged():
    clock = FixedClock(now=1_000_000.0)
    sessions = Sessions(token=TOKEN, clock=clock)
    session = sessions.start_session("juma")
    cookie = sessions.make_cookie(session)
    name, nonce, expires, signature = cookie.split("~")
    forged = [
        "",
        "~~~",
        f"asha~{nonce}~{expires}~{signature}",
        f"{name}~{nonce}~{int(expires) + 1}~{signature}",
        Sessions(token="another", clock=clock).make_cookie(session),
    ]

    assert_that(sessions.read_cookie(cookie), Equals(session))
    assert_that([sessions.read_cookie(one) for one in forged], AllMatch(Equals(None)))
    clock.now += LIFETIME_S + 1
    assert_that(sessions.read_cookie(cookie), Equals(None))
