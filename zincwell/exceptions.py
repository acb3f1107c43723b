"""The exception tree of zincwell, rooted in :class:`ZincwellError`.

Each layer raises its own branch and turns what it gets from the layer below into it.
"""


class ZincwellError(Exception):
    """Base of every error that zincwell raises."""


class SettingsError(ZincwellError):
    """A settings file is missing, malformed or has a value that is not allowed."""


class DocumentError(ZincwellError):
    """A configuration document is not valid; the message names the field."""


class BadRequestError(ZincwellError):
    """A caller's message is malformed; the message names the field."""


class ClientError(ZincwellError):
    """No entry could be reached, or what it answered makes no sense."""


class NotSentError(ClientError):
    """No connection to the entry could be opened, so nothing was sent."""


class AdminError(ZincwellError):
    """An entry's listener for operators refused a call or did not answer."""


class OpenChangeError(AdminError):
    """A change was sent and its verdict is not known; it may have taken effect."""


class PlatformError(ZincwellError):
    """The platform did not serve a call (base of the two below)."""


class LogUnavailableError(PlatformError):
    """The log did not answer. An append may have taken effect all the same."""


class RecordsExpiredError(PlatformError):
    """The log no longer keeps the records asked for.

    :param first: offset of the oldest record that it still keeps.
    """

    def __init__(self, *, first: int):
        super().__init__(f"records before offset {first} are no longer kept")
        self.first = first


class DirectoryUnavailableError(PlatformError):
    """The list of VMs did not answer."""


class WorkerError(ZincwellError):
    """Base of what can go wrong between an entry and a worker."""


class WorkerUnreachableError(WorkerError):
    """No connection to the worker could be opened, so nothing was sent."""


class WorkerConnectionError(WorkerError):
    """The connection broke or went silent after bytes may have left."""


class PeerUnavailableError(ZincwellError):
    """A peer entry did not answer in time."""
