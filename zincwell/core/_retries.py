"""Limits on starting idempotent requests again.

Without a budget, retries multiply the load just when workers fail: one would see more retries
than requests. Each request adds a share of a token, each retry takes one.
"""

from __future__ import annotations

from zincwell.document import Retries

MOST_TOKENS = 10.0


class RetryBudget:
    """Tokens for the retries of one pool."""

    def __init__(self) -> None:
        self._tokens = MOST_TOKENS

    def note_request(self, rules: Retries) -> None:
        """Count an idempotent request."""
        self._tokens = min(MOST_TOKENS, self._tokens + rules.budget)

    def take(self) -> bool:
        """Take a token for a retry; tell whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
