"""Entry point of ``python -m sassafrasdale``."""

import os
import sys

from sassafrasdale.platform.early_listener import open_early_listener
from sassafrasdale.signals import block_signals

# Arguments with which the platform starts a gateway. Importing the command line takes
# 0.1 s of the 0.5 s until a gateway serves, while callers wait: after a restart of all
# gateways, each tenth of a second delays the requests of a tenth of a second.
_DIRECT_ARGUMENTS = ["gateway", "--metrics-port"]


def _start() -> None:
    arguments = sys.argv[1:]
    if arguments[:1] == ["gateway"]:
        block_signals()
        open_early_listener(os.environ)
    if arguments[:-1] == _DIRECT_ARGUMENTS and arguments[-1].isdecimal():
        from sassafrasdale.gateway.launch import launch_gateway

        sys.exit(launch_gateway(int(arguments[-1]), "info"))
    from sassafrasdale.cli.main import main

    main()


if __name__ == "__main__":
    _start()
