"""The command ``sassafrasdale status``."""

from collections import Counter

from sassafrasdale.cli.entries import AsJson, Entries, connect
from sassafrasdale.cli.exits import Exit
from sassafrasdale.cli.models import StatusModel
from sassafrasdale.cli.tables import format_table


def status(*, json: AsJson = False, entry: Entries = None) -> int:
    """Show what the first entry that answers knows."""
    known = connect(entry).status()
    print(known.model_dump_json(indent=2) if json else format_status(known))
    return Exit.OK


def format_status(known: StatusModel) -> str:
    """Return a status as an operator reads it."""
    parts = [
        f"entry {known.entry} in {known.availability_zone}: {known.state}, "
        f"revision {known.revision}",
        _section(("requests in flight", ""), _counts(known)),
        _section(
            ("peer", "availability zone", "state", "revision"),
            [
                (peer.name, peer.availability_zone, peer.state, peer.revision)
                for peer in known.peers
            ],
        ),
        _section(
            ("service", "availability zone", "state", "endpoints", "in flight"),
            _endpoints(known),
        ),
    ]
    return "\n\n".join(parts)


def _section(header: tuple[str, ...], rows: list[tuple]) -> str:
    return format_table(header, rows) if rows else f"{header[0]}: none"


def _counts(known: StatusModel) -> list[tuple[str, int]]:
    return sorted(known.requests_in_flight.items())


def _endpoints(known: StatusModel) -> list[tuple[str, str, str, int, int]]:
    count: Counter[tuple[str, str, str]] = Counter()
    in_flight: Counter[tuple[str, str, str]] = Counter()
    for endpoint in known.endpoints:
        key = (endpoint.service, endpoint.availability_zone, endpoint.state)
        count[key] += 1
        in_flight[key] += endpoint.in_flight
    return [(*key, count[key], in_flight[key]) for key in sorted(count)]
