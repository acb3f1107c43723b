"""Stateless sessions of the console.

A load balancer may send each request of a browser to another entry. So the cookie holds the
whole session, signed with a key derived from the operators' token, which all entries share.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass

from zincwell.checking import check_value
from zincwell.models import Name
from zincwell.ports import Clock

LIFETIME_S = 12 * 3600
SEPARATOR = "~"
KEY_PURPOSE = b"zincwell console session"
DIGEST = "sha256"


@dataclass(frozen=True, kw_only=True)
class Session:
    """A signed-in operator.

    :param name: name typed at sign-in, recorded with each published change.
    :param nonce: random value, unique to the sign-in.
    """

    name: str
    nonce: str


class Sessions:
    """Creates and verifies session cookies and CSRF tokens.

    :param token: the operators' token; if empty, the signing key is random and sessions are
        valid only while this process runs.
    """

    def __init__(self, *, token: str, clock: Clock):
        self.needs_token = bool(token)
        self._token = token
        self._clock = clock
        secret = token or secrets.token_hex()
        self._key = hmac.digest(secret.encode(), KEY_PURPOSE, DIGEST)

    def is_operator_token(self, token: str) -> bool:
        """Return whether a token is the operators' token; always true if none is set."""
        return not self._token or hmac.compare_digest(token.encode(), self._token.encode())

    def start_session(self, name: str) -> Session:
        """Return a new session for an operator."""
        return Session(name=name, nonce=secrets.token_hex(16))

    def make_cookie(self, session: Session) -> str:
        """Return a cookie value that is valid for ``LIFETIME_S`` from now."""
        expires = str(round(self._clock.wall()) + LIFETIME_S)
        parts = (session.name, session.nonce, expires)
        return SEPARATOR.join((*parts, self._sign("cookie", *parts)))

    def read_cookie(self, cookie: str | None) -> Session | None:
        """Return the session of a cookie, or None if its signature is wrong or it has expired."""
        parts = (cookie or "").split(SEPARATOR)
        if len(parts) != 4:
            return None
        name, nonce, expires, signature = parts
        if not self._is_signed(signature, "cookie", name, nonce, expires):
            return None
        if int(expires) < self._clock.wall():
            return None
        return Session(name=name, nonce=nonce)

    def make_form_token(self, session: Session) -> str:
        """Return the CSRF token of a session, a hidden field of each of its forms.

        Without it, a page of another site could make a signed-in browser post a change that the
        operator does not know of.
        """
        return self._sign("form", session.name, session.nonce)

    def is_form_token(self, given: str, session: Session) -> bool:
        """Return whether a CSRF token belongs to a session."""
        return self._is_signed(given, "form", session.name, session.nonce)

    def _sign(self, *parts: str) -> str:
        return hmac.new(self._key, SEPARATOR.join(parts).encode(), DIGEST).hexdigest()

    def _is_signed(self, signature: str, *parts: str) -> bool:
        return hmac.compare_digest(signature.encode(), self._sign(*parts).encode())


def check_name(name: str) -> str:
    """Return why an operator's name is invalid, or an empty string if it is valid."""
    return check_value(name, Name)
