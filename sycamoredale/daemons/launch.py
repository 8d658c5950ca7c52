"""Start a daemon so that no signal for it ends the process.

The imports of a daemon take longer than the first signals may.  This module
imports nothing of them before it has dealt with the signals.
"""

import importlib
import signal


def run_entry() -> None:
    """Run the daemon of an entry instance until a stop signal."""
    # The daemon reads its settings once more when it handles this signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("sycamoredale.daemons.entry").run()
