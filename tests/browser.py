"""HTTP client for tests of the console that handles pages as a browser does."""

from __future__ import annotations

from html.parser import HTMLParser

import aiohttp

from tests.lone import TOKEN


class PageParser(HTMLParser):
    """Parser of a page: form fields by the form's action, tags and error messages."""

    def __init__(self, html: str):
        super().__init__()
        self.fields_by_action: dict[str, dict[str, str]] = {}
        self.errors: list[str] = []
        self.tags: list[str] = []
        self._action = ""
        self._name = ""
        self._in_error = False
        self._text_tag = ""
        self.feed(html)

    def handle_starttag(self, tag: str, attributes: list[tuple[str, str | None]]) -> None:
        given = dict(attributes)
        self.tags.append(tag)
        self._in_error = "error" in (given.get("class") or "").split()
        fields = self.fields_by_action.setdefault(self._action, {})
        if tag == "form":
            self._action = given["action"]
        elif tag == "input":
            fields[given["name"]] = given.get("value") or ""
        elif tag in ("select", "textarea"):
            self._name = given["name"]
            self._text_tag = tag
            fields[self._name] = ""
        elif tag == "option" and "selected" in given:
            self._text_tag = "option"

    def handle_endtag(self, tag: str) -> None:
        self._in_error = False
        if tag in ("option", "textarea"):
            self._text_tag = ""

    def handle_data(self, data: str) -> None:
        if self._in_error and data.strip():
            self.errors.append(data.strip())
        if self._text_tag in ("option", "textarea"):
            self.fields_by_action[self._action][self._name] += data


class Page(PageParser):
    """A response with its parsed page."""

    def __init__(self, *, status: int, headers: dict, text: str, url: str):
        self.status, self.headers, self.text, self.url = status, headers, text, url
        super().__init__(text)

    def fields(self, action: str) -> dict[str, str]:
        return self.fields_by_action[f"/console/{action}"]


class Browser:
    """Client that keeps cookies, follows redirects and posts forms."""

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self.url, self.session = url, session

    async def get(self, path: str) -> Page:
        async with self.session.get(self.url + path) as response:
            return await self._page(response)

    async def post(self, path: str, fields: dict[str, str], **changes: str) -> Page:
        form = {**fields, **changes}
        async with self.session.post(f"{self.url}/console/{path}", data=form) as response:
            return await self._page(response)

    async def sign_in(self, *, name: str = "juma", token: str = TOKEN) -> Page:
        return await self.post("sign-in", {"name": name, "token": token})

    async def open_section(self, section: str) -> Page:
        return await self.get(f"/console/edit?section={section}")

    async def review(self, shown: Page, **changes: str) -> Page:
        """Fill in the form that is shown and press its review button."""
        return await self.post("edit", shown.fields("edit"), action="review", **changes)

    async def _page(self, response: aiohttp.ClientResponse) -> Page:
        return Page(
            status=response.status,
            headers=dict(response.headers),
            text=await response.text(),
            url=response.url.path_qs,
        )
