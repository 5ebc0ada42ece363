"""The command ``sassafrasdale``.

Commands import their dependencies when they run, so that an entry doesn't load
those of the operators' commands, and vice versa.
"""

import os
import sys
from typing import Annotated

from cyclopts import App, Parameter

from sassafrasdale import __version__
from sassafrasdale.cli.exceptions import CommandError
from sassafrasdale.cli.exits import Exit
from sassafrasdale.settings import SettingsError, load_settings, variable_of

app = App(
    name="sassafrasdale",
    version=__version__,
    help="Serving system for language-model applications on reclaimable instances.",
)

app.command(
    "sassafrasdale.cli.config:app",
    name="config",
    help="Check, read and change the operators' text.",
)
app.command(
    "sassafrasdale.cli.report:app",
    name="report",
    help="Reports on what the entries measured.",
)
app.command(
    "sassafrasdale.cli.status:status",
    name="status",
    help="Show what an entry knows.",
)
app.command(
    "sassafrasdale.cli.queues:queues",
    name="queues",
    help="Show which requests wait at a gateway.",
)


def _setting(name: str, text: str) -> Parameter:
    return Parameter(help=f"{text} Variable {variable_of(name)}.")


@app.command
def entry(
    *,
    name: Annotated[
        str | None, _setting("name", "Name of this instance at the platform.")
    ] = None,
    availability_zone: Annotated[
        str | None, _setting("availability_zone", "Where this instance runs.")
    ] = None,
    address: Annotated[
        str | None, _setting("address", "host:port for callers and operators.")
    ] = None,
    peer_address: Annotated[
        str | None, _setting("peer_address", "host:port for the other entries.")
    ] = None,
    store: Annotated[
        str | None, _setting("store", "host:port of the platform's store.")
    ] = None,
    cloud: Annotated[
        str | None, _setting("cloud", "host:port of the platform's cloud API.")
    ] = None,
    drain_timeout: Annotated[
        str | None,
        _setting("drain_timeout", "Wait for requests at a stop, such as 30s."),
    ] = None,
    max_body_bytes: Annotated[
        str | None, _setting("max_body_bytes", "Largest body of a caller.")
    ] = None,
    header_timeout: Annotated[
        str | None,
        _setting("header_timeout", "Limit for receiving a request, such as 10s."),
    ] = None,
    log_level: Annotated[
        str | None, _setting("log_level", "debug, info, notice, warning, error.")
    ] = None,
) -> int:
    """Serve callers until SIGTERM; flags go before environment variables."""
    flags = dict(locals())
    try:
        settings = load_settings(flags, os.environ)
    except SettingsError as error:
        for fault in error.faults:
            print(f"sassafrasdale entry: {fault}", file=sys.stderr)
        return Exit.USAGE
    from sassafrasdale.entry import run_entry

    run_entry(settings)
    return Exit.OK


@app.command
def gateway(
    *,
    metrics_port: Annotated[
        int | None, Parameter(help="Port on which metrics are served.")
    ] = None,
    log_level: Annotated[
        str, Parameter(help="debug, info, notice, warning, error.")
    ] = "info",
) -> int:
    """Serve callers on the users' platform until SIGTERM.

    The settings are in the file that the platform writes for each process.
    """
    from sassafrasdale.gateway.launch import launch_gateway

    return launch_gateway(metrics_port, log_level)


def main() -> None:
    """Run the command that the process's arguments name, then exit."""
    try:
        sys.exit(app(sys.argv[1:]))
    except CommandError as error:
        print(error.message, file=sys.stderr)
        sys.exit(error.exit)
