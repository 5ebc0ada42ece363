"""Start of a gateway, from the command line or directly from ``__main__``."""

import gc
import os
import sys

from sassafrasdale.cli.exits import Exit
from sassafrasdale.gateway.process import run_gateway
from sassafrasdale.platform.exceptions import AdapterError, SettingsFileFaults
from sassafrasdale.platform.settings import read_settings

# Net allocations between two collections. Reference counting frees nearly all objects
# of a gateway, which leaves little to the collector.
COLLECTION_THRESHOLD = 20_000


def reduce_garbage_collection() -> None:
    """Exclude the loaded modules from garbage collection, and collect less often."""
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)


def launch_gateway(metrics_port: int | None, log_level: str) -> int:
    """Run a gateway until it receives a stop signal, and return its exit code."""
    reduce_garbage_collection()
    try:
        run_gateway(
            lambda: read_settings(os.environ),
            metrics_port=metrics_port,
            log_level=log_level,
        )
    except SettingsFileFaults as error:
        for fault in error.exceptions:
            print(f"sassafrasdale gateway: {fault.message}", file=sys.stderr)
        return Exit.USAGE
    except AdapterError as error:
        print(f"sassafrasdale gateway: {error.message}", file=sys.stderr)
        return Exit.USAGE
    return Exit.OK
