"""Sign-in of operators' browsers, without any state on the entry.

The balancer may send each call of a browser to another entry, and an entry keeps nothing. So
the session is in its cookie, signed by a key that comes from the operators' token, which all
entries have.
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

    :param name: as typed at the sign-in; stands in the record of each change.
    :param nonce: tells one sign-in from another.
    """

    name: str
    nonce: str


class Sessions:
    """Makes and checks sessions' cookies and the tokens of forms.

    :param token: the operators' token; without one, sessions end with this process.
    """

    def __init__(self, *, token: str, clock: Clock):
        self.needs_token = bool(token)
        self._token = token
        self._clock = clock
        secret = token or secrets.token_hex()
        self._key = hmac.digest(secret.encode(), KEY_PURPOSE, DIGEST)

    def admits(self, token: str) -> bool:
        """Tell whether a token is the operators' one."""
        return not self._token or hmac.compare_digest(token.encode(), self._token.encode())

    def begin(self, name: str) -> Session:
        """Return a new session of an operator."""
        return Session(name=name, nonce=secrets.token_hex(16))

    def make_cookie(self, session: Session) -> str:
        """Return the cookie's value, valid for ``LIFETIME_S`` from now."""
        expires = str(round(self._clock.wall()) + LIFETIME_S)
        parts = (session.name, session.nonce, expires)
        return SEPARATOR.join((*parts, self._sign("cookie", *parts)))

    def read_cookie(self, cookie: str | None) -> Session | None:
        """Return the session of a cookie, or None if it is not ours or has expired."""
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
        """Return what each form of a session carries.

        Without it, a page of someone else's could make a signed-in browser post a change; one
        would notice a change that its operator does not know of.
        """
        return self._sign("form", session.name, session.nonce)

    def is_form_token(self, given: str, session: Session) -> bool:
        """Tell whether a form was made by us for this session."""
        return self._is_signed(given, "form", session.name, session.nonce)

    def _sign(self, *parts: str) -> str:
        return hmac.new(self._key, SEPARATOR.join(parts).encode(), DIGEST).hexdigest()

    def _is_signed(self, signature: str, *parts: str) -> bool:
        return hmac.compare_digest(signature.encode(), self._sign(*parts).encode())


def check_name(name: str) -> str:
    """Return what is allowed if an operator's name is not, or an empty string."""
    return check_value(name, Name)
