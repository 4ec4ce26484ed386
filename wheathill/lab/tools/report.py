"""The report of a run: one HTML file with embedded SVG plots, which needs no other file."""

import html
import io
import os

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402  the backend must be selected before pyplot is imported

COLORS = {
    "UP": "#2a7f62",
    "BUSY": "#d99a2b",
    "ERR": "#b3382c",
    "moved": "#4a6fa5",
    "cut": "#7b3f61",
    "other": "#777777",
}
STYLE = """body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .15em .9em .15em 0; text-align: left }
td.n { text-align: right; font-variant-numeric: tabular-nums } svg { max-width: 100%; height: auto }
.good { color: #2a7f62 } .bad { color: #b3382c } pre { background: #f4f4f2; padding: .6em; overflow-x: auto }"""


def write_report(result, folder):
    """Write the report to a directory and return its path."""
    os.makedirs(folder, exist_ok=True)
    figures = result.figures
    name = "-".join(
        str(figures[what]) for what in ("script", "world", "policy", "seed")
    )
    path = os.path.join(folder, f"{name}.html")
    with open(path, "w") as output:
        output.write(report_html(result))
    return path


def report_html(result):
    """Return the report of a run as HTML."""
    figures, script, record = result.figures, result.scene.script, result.scene.record
    marks = [
        (now / 1000, fields["do"], fields["on"])
        for now, kind, fields in record.events
        if kind == "event"
    ]
    breach_marks = [
        (breach.now / 1000, f"rule {breach.rule}") for breach in result.breaches
    ]
    seconds = script.seconds
    parts = [
        f"<h1>{html.escape(script.name)}</h1><p>{html.escape(script.about)}</p>",
        f"<p>Seed {figures['seed']}, {figures['world']} world, policy {figures['policy']}, {seconds:g} s "
        f"played in {figures['took_s']:.1f} s. Fingerprint {figures['fingerprint']}.</p>",
    ]
    if result.breaches:
        parts.append(f"<p class=bad>{len(result.breaches)} breaches</p>")
    else:
        parts.append("<p class=good>No rule was broken.</p>")
    parts.append(latency_table(figures))
    parts.append(
        plot_svg(
            "Handshake, ms by percentile",
            seconds,
            marks,
            breach_marks,
            lambda axes: plot_percentiles(axes, record.handshakes, script.listener),
        )
    )
    parts.append(
        plot_svg(
            "Message, ms by percentile",
            seconds,
            marks,
            breach_marks,
            lambda axes: plot_percentiles(axes, record.messages, None),
        )
    )
    parts.append(
        plot_svg(
            "Answers and ends a second",
            seconds,
            marks,
            breach_marks,
            lambda axes: plot_answers(axes, record, seconds),
        )
    )
    for what, title in (
        ("load ", "Load of each gateway, of its capacity"),
        ("sessions ", "Sessions at each gateway"),
    ):
        parts.append(
            plot_svg(
                title,
                seconds,
                marks,
                breach_marks,
                lambda axes: series(axes, record, what),
            )
        )
    if any(name.startswith("memory ") for name in record.series):
        parts.append(
            plot_svg(
                "Memory of each proxy, MB",
                seconds,
                marks,
                breach_marks,
                lambda axes: series(axes, record, "memory "),
            )
        )
    parts.append(
        "<h2>Counts</h2><table>"
        + "".join(
            f"<tr><td>{html.escape(name)}<td class=n>{count}"
            for name, count in figures["counts"].items()
        )
        + "</table>"
    )
    parts.append(
        "<h2>Events</h2><table>"
        + "".join(
            f"<tr><td class=n>{at:.2f} s<td>{html.escape(do)}<td>{html.escape(on or '')}"
            for at, do, on in marks
        )
        + "</table>"
    )
    if result.breaches:
        parts.append(
            "<h2>Breaches</h2>"
            + "".join(
                f"<p class=bad>{html.escape(str(breach))}</p>"
                f"<pre>{html.escape(chr(10).join(breach.as_dict()['last']))}</pre>"
                for breach in result.breaches[:50]
            )
        )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(script.name)}</title>"
        f"<style>{STYLE}</style>" + "\n".join(parts) + "</html>\n"
    )


def latency_table(figures):
    """Return the HTML table of latency percentiles."""
    rows = []
    for what in ("handshake", "message"):
        found = figures[f"{what}_ms"]
        cells = "".join(
            "<td class=n>" + ("-" if found[key] is None else f"{found[key]:.1f}")
            for key in ("p50", "p90", "p99", "p100")
        )
        rows.append(f"<tr><td>{what}<td class=n>{found['count']}{cells}")
    return (
        "<table><tr><th>ms<th>count<th>p50<th>p90<th>p99<th>most"
        + "".join(rows)
        + "</table>"
    )


def plot_svg(title, seconds, marks, breach_marks, draw):
    """Return a plot as SVG.

    Args:
        title: its title.
        seconds: the length of the run.
        marks: (s, event, target) of the events of the script.
        breach_marks: (s, rule) of the breaches.
        draw: called with the axes to draw the data.
    """
    figure, axes = pyplot.subplots(figsize=(10, 3.2))
    draw(axes)
    top = axes.get_ylim()[1]
    for at, do, on in marks:
        axes.axvline(at, color="#999999", linewidth=0.8, linestyle="--")
        axes.annotate(
            f"{do} {on or ''}",
            (at, top),
            rotation=90,
            fontsize=7,
            va="top",
            ha="right",
            color="#555555",
        )
    for at, what in breach_marks:
        axes.axvline(at, color=COLORS["ERR"], linewidth=1.2)
    axes.set_xlim(0, seconds)
    axes.set_xlabel("s")
    axes.set_title(title, loc="left", fontsize=11)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    if 0 < len(axes.get_legend_handles_labels()[0]) <= 16:
        axes.legend(
            fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False
        )
    output = io.StringIO()
    figure.savefig(output, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    text = output.getvalue()
    return text[text.index("<svg") :]


def plot_percentiles(axes, latencies, listeners):
    """Plot the latency percentiles of each second."""
    seconds = sorted(latencies.by_second)
    for percent, width in ((50, 1.6), (90, 1.1), (99, 0.8)):
        axes.plot(
            [second + 0.5 for second in seconds],
            [nearest_rank(latencies.by_second[second], percent) for second in seconds],
            linewidth=width,
            label=f"p{percent}",
        )
    if listeners and seconds:
        target = min(item.handshake_target_ms for item in listeners)
        axes.axhline(target, color=COLORS["ERR"], linewidth=0.6, label="target")
    axes.set_yscale("log")
    for formatter in (axes.yaxis.set_major_formatter, axes.yaxis.set_minor_formatter):
        formatter("{x:.3g}")
    axes.tick_params(axis="y", which="minor", labelsize=6)


def nearest_rank(samples, percent):
    """Return a percentile by nearest rank, as a second has few samples."""
    return sorted(samples)[min(len(samples) - 1, int(len(samples) * percent / 100))]


def plot_answers(axes, record, seconds):
    """Plot answers, moves and cuts per second as stacked bars."""
    by_kind = {}
    for now, kind, fields in record.events:
        name = (
            fields["word"]
            if kind == "answer"
            else kind
            if kind in ("moved", "cut")
            else None
        )
        if name is not None:
            name = name if name in COLORS else "other"
            by_kind.setdefault(name, [0] * (int(seconds) + 2))[int(now // 1000)] += 1
    bottom = [0] * (int(seconds) + 2)
    for name in COLORS:
        if name in by_kind:
            axes.bar(
                [second + 0.5 for second in range(len(bottom))],
                by_kind[name],
                0.9,
                bottom,
                label=name,
                color=COLORS[name],
            )
            bottom = [low + count for low, count in zip(bottom, by_kind[name])]


def series(axes, record, what):
    """Plot all time series whose name has a prefix."""
    for name, points in record.series.items():
        if name.startswith(what):
            axes.plot(
                [at / 1000 for at, _ in points],
                [value for _, value in points],
                linewidth=1.0,
                label=name.removeprefix(what),
            )
    axes.set_ylim(bottom=0)
