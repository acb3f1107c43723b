"""In-memory fakes of the platform and the workers, for the demo, tests and benchmarks.

Not for production. They implement the server side of the protocols in docs/protocols.md and have
switches to inject faults.
"""

from zincwell.standins._directory import StandinDirectory
from zincwell.standins._log import StandinLog
from zincwell.standins._server import StandinServer
from zincwell.standins._worker import StandinWorker

__all__ = ["StandinDirectory", "StandinLog", "StandinServer", "StandinWorker"]
