"""HTTP listeners of an entry for callers, peers and operators, each on its own port."""

from zincwell.listeners._callers import CallersListener
from zincwell.listeners._operators import (
    CheckReply,
    ConfigReply,
    OperatorsListener,
    PublishReply,
)
from zincwell.listeners._peers import PeersListener

__all__ = [
    "CallersListener",
    "CheckReply",
    "ConfigReply",
    "OperatorsListener",
    "PeersListener",
    "PublishReply",
]
