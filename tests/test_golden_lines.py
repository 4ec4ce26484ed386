"""Lines to clients, servers and discovery, byte for byte as recorded, by a whole proxy in the virtual world."""

import pytest

import golden_lines
from golden_files import check_golden, compare_golden, read_golden


@pytest.mark.parametrize("scenario", golden_lines.SCENARIOS)
def test_the_proxy_sends_the_recorded_bytes(scenario: str) -> None:
    check_golden(f"lines_{scenario}.json", list(golden_lines.SCENARIOS[scenario]()))


@pytest.mark.parametrize(
    ("scenario", "text"),
    [
        ("pings", "gets PONG\r\n"),
        ("pings", "gets ERR\r\n"),
        ("served", "gets UP r1\r\n"),
        ("nobody_there", "gets BUSY "),
        ("moved", "gets MOVE\r\n"),
        ("probes", "gets STATS\r\n"),
        ("answers", "gets BYE\r\n"),
        (
            "watches",
            "gets GET /v1/servers?stream=1&index=0 HTTP/1.1\r\nHost: disco.lab\r\n",
        ),
        ("watches", "gets GET /v1/servers?stream=1&index=9 HTTP/1.1\r\n"),
    ],
)
def test_each_kind_of_line_is_recorded(scenario: str, text: str) -> None:
    assert any(text in line for line in read_golden(f"lines_{scenario}.json"))


def test_a_line_with_a_changed_byte_is_seen() -> None:
    lines = golden_lines.SCENARIOS["served"]()
    place = next(place for place, line in enumerate(lines) if "gets UP" in line)
    lines[place] = lines[place].replace("gets UP", "gets Up")
    with pytest.raises(AssertionError):
        compare_golden("lines_served.json", lines)
