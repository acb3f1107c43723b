"""Dispatch jobs over a pool of workers that a single owner schedules.

One entry owns the pool: only it sends orders to the workers, with a fencing token. Every entry
accepts jobs from callers, submits them to the owner and returns the answers. See
docs/design/platform.md for the reasons.
"""

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._loop_ticks import LoopTicks
from zincwell.dispatch._node import Node
from zincwell.dispatch._types import Limits

__all__ = ["BackgroundTasks", "Limits", "LoopTicks", "Node"]
