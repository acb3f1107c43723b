"""HTML console on the operators' listener.

It edits the configuration document: an operator edits a draft, reviews its diff and publishes
it. The draft is a hidden form field, so any entry can serve the next request.
"""

from __future__ import annotations

import functools
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import jinja2
from result import Err, Ok, Result
from sanic import HTTPResponse, Request

from zincwell.core._configuration import Verdict
from zincwell.core._publishing import Proposal, PublishFailure
from zincwell.exceptions import BadRequestError
from zincwell.listeners import _drafts as drafts
from zincwell.listeners import _forms as forms
from zincwell.listeners._sessions import LIFETIME_S, Session, Sessions, check_name

if TYPE_CHECKING:
    from zincwell.entry import Entry

ROOT = "/console"
COOKIE = "zincwell_session"
TEMPLATES = Path(__file__).parent / "templates"
MAX_SHOWN_VERDICTS = 20
SEE_OTHER = 303
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
CONFLICT = 409
UNAVAILABLE = 503
HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'"
    ),
    "Referrer-Policy": "same-origin",
    "X-Content-Type-Options": "nosniff",
    "X-Frame-Options": "DENY",
}

log = logging.getLogger("zincwell.console")

Form = list[tuple[str, str]]
PageHandler = Callable[["Console", Request, Session], Awaitable[HTTPResponse]]


def require_session(method: PageHandler) -> Callable[[Console, Request], Awaitable[HTTPResponse]]:
    """Require a session and, for a POST, the CSRF token of that session."""

    @functools.wraps(method)
    async def guarded(self: Console, request: Request) -> HTTPResponse:
        found = self.check_session(request)
        if isinstance(found, Err):
            return found.err_value
        try:
            response = await method(self, request, found.ok_value)
        except BadRequestError as error:
            return self.render_refusal(BAD_REQUEST, str(error))
        return self.renew_session(response, found.ok_value)

    return guarded


class Console:
    """Serves the console's pages.

    :param token: the operators' token; empty for none.
    :param is_tls: whether the listener uses TLS; sets the ``Secure`` flag of cookies.
    """

    def __init__(self, *, entry: Entry, token: str, is_tls: bool):
        self.sessions = Sessions(token=token, clock=entry.clock)
        self._entry = entry
        self._is_tls = is_tls
        self._environment = jinja2.Environment(
            loader=jinja2.FileSystemLoader(TEMPLATES),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def add_routes(self, add: Callable) -> None:
        """Register the routes of the console.

        :param add: ``add_route`` of the Sanic application.
        """
        add(self._style, f"{ROOT}/style.css", methods=["GET"])
        add(self._show_sign_in, f"{ROOT}/sign-in", methods=["GET"])
        add(self._sign_in, f"{ROOT}/sign-in", methods=["POST"])
        add(self._sign_out, f"{ROOT}/sign-out", methods=["POST"])
        add(self._overview, ROOT, methods=["GET"])
        add(self._show_edit, f"{ROOT}/edit", methods=["GET"])
        add(self._edit, f"{ROOT}/edit", methods=["POST"])
        add(self._publish, f"{ROOT}/publish", methods=["POST"])
        add(self._rebase, f"{ROOT}/rebase", methods=["POST"])

    # -- sign-in -------------------------------------------------------------------------

    async def _style(self, _: Request) -> HTTPResponse:
        body = (TEMPLATES / "style.css").read_bytes()
        return HTTPResponse(body=body, headers=HEADERS, content_type="text/css; charset=utf-8")

    async def _show_sign_in(self, _: Request) -> HTTPResponse:
        return self._render_sign_in()

    async def _sign_in(self, request: Request) -> HTTPResponse:
        form = _read_form(request)
        name = _field(form, "name").strip()
        if not self.sessions.is_operator_token(_field(form, "token").strip()):
            log.warning("sign_in_refused", extra={"operator": name, "from": request.ip})
            return self._render_sign_in(name=name, error="The token is not the operators' token.")
        if check_name(name):
            error = "A name has 1 to 64 letters, digits, dots, underscores and hyphens."
            return self._render_sign_in(name=name, error=error)
        log.info("sign_in", extra={"operator": name, "from": request.ip})
        return self.renew_session(_redirect(ROOT), self.sessions.start_session(name))

    def _render_sign_in(self, *, name: str = "", error: str = "") -> HTTPResponse:
        return self._render(
            "sign_in.html",
            status=UNAUTHORIZED if error else 200,
            name=name,
            error=error,
            needs_token=self.sessions.needs_token,
        )

    async def _sign_out(self, request: Request) -> HTTPResponse:
        found = self.check_session(request)
        if isinstance(found, Err):
            return found.err_value
        log.info("sign_out", extra={"operator": found.ok_value.name})
        return self._set_cookie(_redirect(f"{ROOT}/sign-in"), "", max_age=0)

    def check_session(self, request: Request) -> Result[Session, HTTPResponse]:
        """Return the session of a request, or the response that rejects the request."""
        session = self.sessions.read_cookie(request.cookies.get(COOKIE))
        if session is None:
            return Err(_redirect(f"{ROOT}/sign-in"))
        given = _field(_read_form(request), "csrf")
        if request.method == "POST" and not self.sessions.is_form_token(given, session):
            return Err(self.render_refusal(FORBIDDEN, "This form was not made for your session."))
        return Ok(session)

    def renew_session(self, response: HTTPResponse, session: Session) -> HTTPResponse:
        """Set a new cookie, so that the session expires ``LIFETIME_S`` after its last request."""
        return self._set_cookie(response, self.sessions.make_cookie(session), max_age=LIFETIME_S)

    def _set_cookie(self, response: HTTPResponse, value: str, *, max_age: int) -> HTTPResponse:
        response.add_cookie(
            COOKIE,
            value,
            path=ROOT,
            httponly=True,
            samesite="Strict",
            secure=self._is_tls,
            max_age=max_age,
        )
        return response

    # -- pages ---------------------------------------------------------------------------

    @require_session
    async def _overview(self, request: Request, session: Session) -> HTTPResponse:
        configuration = self._entry.configuration
        verdicts = list(configuration.verdict_by_id.values())
        return self._render(
            "overview.html",
            session=session,
            status=200,
            entry=self._entry.status(),
            version=configuration.version,
            document=drafts.format_document(configuration.value),
            verdicts=[
                _describe_verdict(verdict) for verdict in reversed(verdicts[-MAX_SHOWN_VERDICTS:])
            ],
            published=request.args.get("published", ""),
        )

    @require_session
    async def _show_edit(self, request: Request, session: Session) -> HTTPResponse:
        draft = drafts.begin_draft(self._entry.configuration)
        return self._show_forms(session, draft, request.args.get("section", "services"))

    @require_session
    async def _edit(self, request: Request, session: Session) -> HTTPResponse:
        """Apply the typed values to the draft, then run the action of the pressed button."""
        form = _read_form(request)
        draft = drafts.decode_draft(_field(form, "draft"))
        section = _check_section(_field(form, "section"))
        document = forms.apply_fields(draft.document, form)
        action, _, subject = _field(form, "action").partition(":")
        name, error = _field(form, "new_name").strip(), ""
        if action == "add" or (name and action != "remove"):
            document, error = forms.add_entry(document, section, name)
        if action == "remove":
            document = forms.remove_entry(document, section, subject)
        edited = drafts.Draft(base=draft.base, before=draft.before, document=document)
        if error:
            return self._show_forms(session, edited, section, new_name=name, name_error=error)
        if action == "review":
            return self._review(session, edited)
        target = _check_section(subject) if action == "section" else section
        return self._show_forms(session, edited, target)

    @require_session
    async def _publish(self, request: Request, session: Session) -> HTTPResponse:
        form = _read_form(request)
        draft, note = drafts.decode_draft(_field(form, "draft")), _field(form, "note").strip()
        if forms.find_draft_faults(draft.document):
            return self._review(session, draft, note=note)
        proposal = Proposal(
            id=draft.id(), base=draft.base, document=draft.document, by=session.name, note=note
        )
        result = await self._entry.publisher.publish(proposal)
        if isinstance(result, Err):
            return self._show_publish_failure(session, draft, note, result.err_value)
        verdict = result.ok_value
        if not verdict.accepted:
            error = f"Not published: {verdict.reason}."
            return self._review(session, draft, note=note, status=CONFLICT, error=error)
        return _redirect(f"{ROOT}?published={verdict.version}")

    @require_session
    async def _rebase(self, request: Request, session: Session) -> HTTPResponse:
        form = _read_form(request)
        draft, conflicts = drafts.rebase(
            drafts.decode_draft(_field(form, "draft")), self._entry.configuration
        )
        return self._review(session, draft, note=_field(form, "note"), conflicts=conflicts)

    def _show_publish_failure(
        self, session: Session, draft: drafts.Draft, note: str, failure: PublishFailure
    ) -> HTTPResponse:
        if not failure.is_open:
            error = f"Not published: {failure.detail}."
            return self._review(session, draft, note=note, error=error, status=BAD_REQUEST)
        error = "The log did not answer: the change may be in force or may still come into force."
        return self._review(
            session, draft, note=note, error=error, status=UNAVAILABLE, is_open=True
        )

    def _show_forms(
        self,
        session: Session,
        draft: drafts.Draft,
        section: str,
        *,
        status: int = 200,
        new_name: str = "",
        name_error: str = "",
    ) -> HTTPResponse:
        faults = forms.find_draft_faults(draft.document)
        sections = [
            forms.make_section(name, draft.document, faults) for name in forms.TITLE_BY_SECTION
        ]
        shown = next(one for one in sections if one.name == _check_section(section))
        return self._render(
            "edit.html",
            session=session,
            status=BAD_REQUEST if name_error else status,
            draft=draft,
            draft_text=drafts.encode_draft(draft),
            sections=sections,
            section=shown,
            unplaced=forms.list_unplaced_faults(faults, shown),
            new_name=new_name,
            name_error=name_error,
        )

    def _review(
        self,
        session: Session,
        draft: drafts.Draft,
        *,
        status: int = 200,
        note: str = "",
        error: str = "",
        is_open: bool = False,
        conflicts: list[drafts.Conflict] | None = None,
    ) -> HTTPResponse:
        """Show the diff of a valid draft, or the first section with faults of an invalid one."""
        faults = forms.find_draft_faults(draft.document)
        if faults:
            section = forms.section_of(faults[0])
            return self._show_forms(session, draft, section, status=BAD_REQUEST)
        configuration = self._entry.configuration
        return self._render(
            "review.html",
            session=session,
            status=status,
            draft=draft,
            draft_text=drafts.encode_draft(draft),
            version=configuration.version,
            diff=drafts.diff_draft(draft),
            document=drafts.format_document(draft.document),
            since=[
                _describe_verdict(verdict) for verdict in configuration.changes_since(draft.base)
            ],
            note=note,
            error=error,
            is_open=is_open,
            conflicts=conflicts or [],
        )

    def render_refusal(self, status: int, message: str) -> HTTPResponse:
        """Return a page that says why the request was rejected."""
        return self._render("refusal.html", status=status, message=message)

    def _render(
        self, template: str, *, status: int, session: Session | None = None, **values: object
    ) -> HTTPResponse:
        text = self._environment.get_template(template).render(
            root=ROOT,
            session=session,
            csrf=self.sessions.make_form_token(session) if session else "",
            http_status=status,
            vm=self._entry.settings.vm,
            domain=self._entry.settings.domain,
            **values,
        )
        return HTTPResponse(
            body=text, status=status, headers=HEADERS, content_type="text/html; charset=utf-8"
        )


def _describe_verdict(verdict: Verdict) -> dict[str, object]:
    """Return the template values for a verdict: the verdict and its changed fields."""
    changes = [
        (".".join(path), drafts.format_value(value))
        for path, value in drafts.list_changes(verdict.patch)
    ]
    return {"verdict": verdict, "changes": changes}


def _check_section(name: str) -> str:
    if name not in forms.TITLE_BY_SECTION:
        raise BadRequestError(f"no section {name!r}")
    return name


def _read_form(request: Request) -> Form:
    """Return the fields of a form, including the blank ones, which Sanic drops.

    A blank field clears a value.
    """
    try:
        return parse_qsl(request.body.decode(), keep_blank_values=True)
    except UnicodeDecodeError:
        return []


def _field(form: Form, name: str) -> str:
    return next((value for key, value in form if key == name), "")


def _redirect(location: str) -> HTTPResponse:
    return HTTPResponse(status=SEE_OTHER, headers={**HEADERS, "Location": location})
