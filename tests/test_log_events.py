"""The page for on-call duty describes each event of the log, and no other."""

import pathlib
import re

from wheathill.log_events import LogEvent

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "on-call.md"


def names_of(section: str, column: int) -> list[str]:
    """The names in backticks in one column of a section's table."""
    text = PAGE.read_text().split(f"## {section}\n", 1)[1].split("\n## ", 1)[0]
    table = [line for line in text.splitlines() if line.startswith("| `")]
    cells = [line.split("|")[1 + column] for line in table]
    return [name for cell in cells for name in re.findall(r"`([^`]+)`", cell)]


def test_the_page_describes_every_event_and_no_other():
    described = set(names_of("Log lines", 0))
    decisions = {name for name in described if ":" in name}
    assert described - decisions == {event.value for event in LogEvent}


def test_every_event_stands_beside_its_old_name_once():
    renamed = names_of("Renamed events", 0)
    assert sorted(renamed) == sorted(event.value for event in LogEvent)
    before = names_of("Renamed events", 1)
    assert len(before) == len(set(before)) == len(renamed)
