"""Small stand-ins for the platform and the workers, for the demo, tests and measurements.

None of this runs in production: it shows the protocols of docs/protocols.md from the other
side and can be told to misbehave.
"""

from zincwell.standins._directory import StandinDirectory
from zincwell.standins._log import StandinLog
from zincwell.standins._server import StandinServer
from zincwell.standins._worker import StandinWorker

__all__ = ["StandinDirectory", "StandinLog", "StandinServer", "StandinWorker"]
