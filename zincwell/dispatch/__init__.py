"""Dispatch jobs over one pool of workers that a single owner schedules.

One entry owns the pool: it alone gives orders to workers, under a fencing token. Every entry
takes jobs from callers, hands them to the owner and answers. docs/design/platform.md tells why.
"""

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._node import Node
from zincwell.dispatch._types import Limits

__all__ = ["BackgroundTasks", "Limits", "Node"]
