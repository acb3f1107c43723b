"""Exceptions of zincwell, all derived from :class:`ZincwellError`.

Each layer raises its own subclasses and converts the exceptions of the layer below to them.
"""


class ZincwellError(Exception):
    """Base class of all exceptions that zincwell raises."""


class SettingsError(ZincwellError):
    """A settings file is missing, malformed or contains an invalid value."""


class DocumentError(ZincwellError):
    """A document is malformed or invalid; the message names the field."""


class MalformedJsonError(ZincwellError):
    """What another program has written is no JSON, or not of the expected form."""


class BadRequestError(ZincwellError):
    """A caller's request is malformed; the message names the field."""


class ClientError(ZincwellError):
    """No entry could be reached, or its response is malformed."""


class NotSentError(ClientError):
    """Connecting to the entry failed, so nothing was sent."""


class AdminError(ZincwellError):
    """An entry's listener for operators rejected a call or did not respond."""


class OpenChangeError(AdminError):
    """A change was sent but its outcome is unknown; it may have taken effect."""


class PlatformError(ZincwellError):
    """A call to the platform failed (base class)."""


class LogUnavailableError(PlatformError):
    """The log did not respond; an append may still have taken effect."""


class RecordsExpiredError(PlatformError):
    """The log no longer has the requested records.

    :param first: offset of the oldest record that it still has.
    """

    def __init__(self, *, first: int):
        super().__init__(f"records before offset {first} are no longer available")
        self.first = first


class DirectoryUnavailableError(PlatformError):
    """The directory of VMs did not respond."""


class WorkerError(ZincwellError):
    """A call from an entry to a worker failed (base class)."""


class WorkerUnreachableError(WorkerError):
    """Connecting to the worker failed, so nothing was sent."""


class WorkerConnectionError(WorkerError):
    """The connection broke or timed out after data may have been sent."""


class PeerUnavailableError(ZincwellError):
    """A peer entry did not respond in time."""
