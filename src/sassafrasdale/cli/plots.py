"""Plot of the burn report; needs matplotlib, which the package doesn't require."""

from collections.abc import Sequence

from matplotlib.figure import Figure

from sassafrasdale.burn import ServiceBurn
from sassafrasdale.text.durations import format_duration

FULL_BUDGET_RATE = 1.0


def plot_burn(services: Sequence[ServiceBurn], name: str) -> None:
    """Write a bar chart of burn rates by service and window.

    :param services: counts by service.
    :param name: file to write; its extension gives the format, such as .svg.
    :raises ValueError: the extension is no known format.
    """
    figure = Figure(figsize=(8, 4.5), layout="constrained")
    axes = figure.add_subplot()
    count = max((len(burn.windows) for burn in services), default=1)
    width = 0.8 / count
    for index in range(count):
        rates = [
            burn.windows[index].burn_rate(burn.objective) or 0.0 for burn in services
        ]
        positions = [position + index * width for position in range(len(services))]
        label = format_duration(services[0].windows[index].window) if services else ""
        axes.bar(positions, rates, width, label=label)
    axes.axhline(FULL_BUDGET_RATE, linestyle="--", color="black", linewidth=1)
    middle = (count - 1) * width / 2
    axes.set_xticks(
        [position + middle for position in range(len(services))],
        [burn.service for burn in services],
    )
    axes.set_ylabel("burn rate")
    if services:
        axes.legend(title="window")
    figure.savefig(name)
