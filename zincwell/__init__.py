"""zincwell: a dispatcher for sub-second tasks that owns the outcome.

>>> with zincwell.BlockingClient(urls=["http://127.0.0.1:7000"], tenant="school") as client:
...     answer = client.submit("transcriber", [{"page": 1}, {"page": 2}])
>>> answer.outcome
<Outcome.COMPLETED: 'completed'>
"""

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
