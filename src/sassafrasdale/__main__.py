"""Entry point of ``python -m sassafrasdale``."""

import os
import sys

from sassafrasdale.platform.early import open_early_listener
from sassafrasdale.signals import hold_signals

# The gateway's arguments as the platform gives them. Loading the command line takes
# 0.1 s of 0.5 s until a gateway serves, and its callers wait: after a restart of all
# gateways, each tenth of a second makes a tenth of a second's requests late.
_PLAIN_GATEWAY = ["gateway", "--metrics-port"]


def _start() -> None:
    arguments = sys.argv[1:]
    if arguments[:1] == ["gateway"]:
        hold_signals()
        open_early_listener(os.environ)
    if arguments[:-1] == _PLAIN_GATEWAY and arguments[-1].isdecimal():
        from sassafrasdale.gateway.launch import launch_gateway

        sys.exit(launch_gateway(int(arguments[-1]), "info"))
    from sassafrasdale.cli.main import main

    main()


if __name__ == "__main__":
    _start()
