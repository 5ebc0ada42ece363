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
MAX_CALLS = 16

app = App(name="report", help="Reports on what the entries measured.")


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of every service, summed over entries.

    :param entries: names of the entries that are in it.
    :param not_reached: addresses of those that are not.
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
    known = client.status()
    peers = [Address.parse(peer.address) for peer in known.peers if peer.address]
    return tuple(dict.fromkeys((*client.entries, *peers)))


def collect_burn(addresses: tuple[Address, ...]) -> BurnReport:
    """Return the counts of all entries that answer.

    :raises NotReachedError: none does.
    """
    # A zone that went away answers nothing for seconds at each of its addresses, so
    # they are asked beside each other.
    with ThreadPoolExecutor(MAX_CALLS) as pool:
        outcomes = list(pool.map(_ask, addresses))
    answers = {found.entry: found for found in outcomes if isinstance(found, BurnModel)}
    if not answers:
        raise NotReachedError("\n".join(error.message for error in outcomes))
    lost = [
        str(address)
        for address, found in zip(addresses, outcomes, strict=True)
        if isinstance(found, CommandError)
    ]
    parts = [part.build() for answer in answers.values() for part in answer.services]
    return BurnReport(tuple(sorted(answers)), tuple(lost), sum_burns(parts))


def _ask(address: Address) -> BurnModel | CommandError:
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
