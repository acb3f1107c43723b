"""The table of mutations: which text is replaced where, and which tests must then fail."""

from __future__ import annotations

from dataclasses import dataclass

PROPERTY = "tests/test_ownership_property.py"


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One mechanism taken out.

    :param text: stands exactly once in the file.
    :param tests: ids as pytest takes them; each must fail.
    """

    name: str
    file: str
    text: str
    replacement: str
    tests: tuple[str, ...]


def _ownership(name: str, file: str, text: str, replacement: str) -> Mutation:
    return Mutation(
        name=f"ownership-{name}",
        file=f"zincwell/{file}",
        text=text,
        replacement=replacement,
        tests=(PROPERTY,),
    )


OWNERSHIP = [
    _ownership(
        "peers-unasked",
        "core/_seat.py",
        "            return True\n"
        "        return all(self._contact(seat).acked_at > oldest for seat in self.others())\n",
        "            return True\n        return True\n",
    ),
    _ownership(
        "log-contact-unchecked",
        "core/_seat.py",
        "        if self._follower.contact_at > oldest:\n            return True\n",
        "        if self._follower.contact_at > NEVER:\n            return True\n",
    ),
    _ownership(
        "always-fresh",
        "core/_home.py",
        "fresh = claim.created_at > home_since + self._timing.clock_margin_s",
        "fresh = True",
    ),
    _ownership(
        "joined-unchecked",
        "core/_seat.py",
        "if not self.is_open or not self._has_joined():",
        "if not self.is_open:",
    ),
    _ownership(
        "closing-acknowledged",
        "core/_seat.py",
        "        if seat.id in self._closing:\n            return False\n",
        "",
    ),
    _ownership(
        "no-wait-after-abrupt-close", "core/_home.py", "ABRUPT_LEASES = 2", "ABRUPT_LEASES = 0"
    ),
    _ownership(
        "refusals-forgotten",
        "core/_home.py",
        "return 0 < claim.attempt <= refused",
        "return False",
    ),
    _ownership(
        "handover-from-behind",
        "entry.py",
        "if reply.epoch >= epoch and reply.seat.id == seat.id:",
        "if reply.seat.id == seat.id:",
    ),
    _ownership(
        "late-grant-taken",
        "core/_ownership.py",
        "if self._clock.monotonic() - asked_at > self._timing.seat_lease_s:",
        "if False:",
    ),
    _ownership(
        "closed-grant-taken",
        "core/_submissions.py",
        "if reply.serial <= self._book.closed_serial(key):",
        "if False:",
    ),
]

MUTATIONS = [*OWNERSHIP]
