"""The command ``sassafrasdale status``."""

from collections import Counter

from sassafrasdale.cli.entries import AsJson, Entries, connect
from sassafrasdale.cli.exits import Exit
from sassafrasdale.cli.models import StatusModel
from sassafrasdale.cli.tables import format_table


def status(*, json: AsJson = False, entry: Entries = None) -> int:
    """Show what the first entry that answers knows."""
    report = connect(entry).status()
    print(report.model_dump_json(indent=2) if json else format_status(report))
    return Exit.OK


def format_status(report: StatusModel) -> str:
    """Return a status as text for an operator."""
    parts = [
        f"entry {report.entry} in {report.availability_zone}: {report.state}, "
        f"revision {report.revision}",
        _section(("requests in flight", ""), _counts(report)),
        _section(
            ("peer", "availability zone", "state", "revision"),
            [
                (peer.name, peer.availability_zone, peer.state, peer.revision)
                for peer in report.peers
            ],
        ),
        _section(
            ("service", "availability zone", "state", "endpoints", "in flight"),
            _endpoints(report),
        ),
    ]
    return "\n\n".join(parts)


def _section(header: tuple[str, ...], rows: list[tuple]) -> str:
    return format_table(header, rows) if rows else f"{header[0]}: none"


def _counts(report: StatusModel) -> list[tuple[str, int]]:
    return sorted(report.requests_in_flight.items())


def _endpoints(report: StatusModel) -> list[tuple[str, str, str, int, int]]:
    count: Counter[tuple[str, str, str]] = Counter()
    in_flight: Counter[tuple[str, str, str]] = Counter()
    for endpoint in report.endpoints:
        key = (endpoint.service, endpoint.availability_zone, endpoint.state)
        count[key] += 1
        in_flight[key] += endpoint.in_flight
    return [(*key, count[key], in_flight[key]) for key in sorted(count)]
