"""The commands ``sassafrasdale report ...``."""

import json as json_format
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from cyclopts import App, Parameter

from sassafrasdale.burn import ServiceBurn, WindowCount, sum_burns
from sassafrasdale.cli.client import AdminClient
from sassafrasdale.cli.entries import AsJson, Entries, connect
from sassafrasdale.cli.exceptions import CommandError, NotReachedError, UsageError
from sassafrasdale.cli.exits import Exit
from sassafrasdale.cli.models import BurnModel
from sassafrasdale.cli.tables import format_table
from sassafrasdale.structures import Address
from sassafrasdale.text.durations import format_duration

READ_TIMEOUT = timedelta(seconds=3)
MAX_CONCURRENT_REQUESTS = 16

app = App(name="report", help="Reports on what the entries measured.")


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn rate counts of all services, summed over entries.

    :param entries: names of the entries included.
    :param not_reached: addresses of the entries that were not reached.
    :param services: counts by service.
    """

    entries: tuple[str, ...]
    not_reached: tuple[str, ...]
    services: tuple[ServiceBurn, ...]


@app.command
def burn(
    *,
    peers: Annotated[
        bool, Parameter(help="Ask the peers of the entries as well.")
    ] = True,
    json: AsJson = False,
    plot: Annotated[str | None, Parameter(help="Write a plot to this file.")] = None,
    entry: Entries = None,
) -> int:
    """Show the burn rate of each service's objective over several windows.

    At 1 the error budget is used as fast as the objective allows, above 1 faster.
    Counts are summed over the entries given and their peers; an entry counts since
    its start. Ends with 4 if no entry was reached.
    """
    client = connect(entry)
    addresses = _with_peers(client) if peers else client.entries
    report = collect_burn(addresses)
    if plot:
        _plot(report, plot)
    print(format_json(report) if json else format_burn(report))
    for address in report.not_reached:
        print(f"not reached, so not counted: {address}", file=sys.stderr)
    return Exit.OK


def _with_peers(client: AdminClient) -> tuple[Address, ...]:
    status = client.status()
    peers = [Address.parse(peer.address) for peer in status.peers if peer.address]
    return tuple(dict.fromkeys((*client.entries, *peers)))


def collect_burn(addresses: tuple[Address, ...]) -> BurnReport:
    """Return the counts of all entries that respond.

    :raises NotReachedError: none does.
    """
    # Requests to the entries of a failed zone time out only after seconds, so all
    # entries are requested concurrently.
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        results = list(pool.map(_fetch_burn, addresses))
    responses = {
        result.entry: result for result in results if isinstance(result, BurnModel)
    }
    if not responses:
        raise NotReachedError("\n".join(error.message for error in results))
    not_reached = [
        str(address)
        for address, result in zip(addresses, results, strict=True)
        if isinstance(result, CommandError)
    ]
    parts = [
        part.build() for response in responses.values() for part in response.services
    ]
    return BurnReport(tuple(sorted(responses)), tuple(not_reached), sum_burns(parts))


def _fetch_burn(address: Address) -> BurnModel | CommandError:
    try:
        return AdminClient((address,), READ_TIMEOUT).burn()
    except CommandError as error:
        return error


def format_burn(report: BurnReport) -> str:
    """Return a report as a table."""
    windows = [count.window for burn in report.services[:1] for count in burn.windows]
    header = ("service", "objective", *map(format_duration, windows), "late in 6h")
    rows = [
        (
            burn.service,
            f"{burn.objective:.2%}",
            *(_format_rate(burn, count) for count in burn.windows),
            _format_late(burn.windows[-1]),
        )
        for burn in report.services
    ]
    entries = f"{len(report.entries)} entries: {', '.join(report.entries)}"
    return f"burn rate, {entries}\n\n{format_table(header, rows)}"


def _format_rate(burn: ServiceBurn, count: WindowCount) -> str:
    rate = count.burn_rate(burn.objective)
    return "-" if rate is None else f"{rate:.2f}"


def _format_late(count: WindowCount) -> str:
    return f"{count.total - count.in_time} of {count.total}"


def format_json(report: BurnReport) -> str:
    """Return a report as JSON."""
    services = [
        {
            "service": burn.service,
            "objective": burn.objective,
            "windows": [_window_to_json(burn, count) for count in burn.windows],
        }
        for burn in report.services
    ]
    document = {
        "entries": report.entries,
        "not_reached": report.not_reached,
        "services": services,
    }
    return json_format.dumps(document, indent=2)


def _window_to_json(burn: ServiceBurn, count: WindowCount) -> dict[str, object]:
    rate = count.burn_rate(burn.objective)
    return {
        "seconds": int(count.window.total_seconds()),
        "total": count.total,
        "in_time": count.in_time,
        "burn_rate": None if rate is None else round(rate, 4),
    }


def _plot(report: BurnReport, name: str) -> None:
    try:
        from sassafrasdale.cli.plots import plot_burn
    except ImportError as error:
        raise UsageError("--plot needs matplotlib, which is not installed") from error
    try:
        plot_burn(report.services, name)
    except (OSError, ValueError) as error:
        raise UsageError(f"--plot: {error}") from error
