"""zincwell: a dispatcher for sub-second tasks that reports the outcome of every job.

>>> with zincwell.BlockingClient(urls=["http://127.0.0.1:7000"], tenant="school") as client:
...     answer = client.submit("transcriber", [{"page": 1}, {"page": 2}])
>>> answer.outcome
<Outcome.COMPLETED: 'completed'>
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zincwell.client import BlockingClient, Client, JobKey
    from zincwell.exceptions import BadRequestError, ClientError, ZincwellError
    from zincwell.models import Answer, Outcome, TaskAnswer

__version__ = "0.1.0"
__all__ = [
    "Answer",
    "BadRequestError",
    "BlockingClient",
    "Client",
    "ClientError",
    "JobKey",
    "Outcome",
    "TaskAnswer",
    "ZincwellError",
]

_MODULE_BY_NAME = {
    "Answer": "models",
    "BadRequestError": "exceptions",
    "BlockingClient": "client",
    "Client": "client",
    "ClientError": "exceptions",
    "JobKey": "client",
    "Outcome": "models",
    "TaskAnswer": "models",
    "ZincwellError": "exceptions",
}


def __getattr__(name: str) -> object:
    """Return a public name, importing its module on first use.

    An entry imports this package but does not need the client. Importing it lazily saves start-up
    time, which matters while all entries restart.
    """
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


def __dir__() -> list[str]:
    return sorted([*globals(), *__all__])
