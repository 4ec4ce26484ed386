"""What peers send at full speed costs others nothing and fills nothing, in virtual time."""

from golden_proxy import Scene, started
from wheathill.log_events import LogEvent

FLOOD_LINES = 9000
LOGGED_A_SECOND = 5


def protocol_errors(scene: Scene) -> list[dict]:
    """Returns the log's lines on breaches of the protocol."""
    return [
        fields for event, fields in scene.proxy.log if event == LogEvent.PROTOCOL_ERROR
    ]


def test_unsound_lines_of_a_server_are_logged_at_a_limited_rate() -> None:
    # Guards against one read that takes a quarter of a second and fills the log's queue.
    scene = started()
    scene.open(1)
    server = scene.server()
    server.send("UP r1\r\n")
    scene.proxy.run(20.0)
    for _ in range(FLOOD_LINES):
        server.send("LOAD much\r\n")
    scene.proxy.run(100.0)
    assert 1 <= len(protocol_errors(scene)) <= LOGGED_A_SECOND


def test_unreadable_entries_of_a_list_are_logged_at_a_limited_rate() -> None:
    # Guards against a list of thousands of entries each of which takes a log line.
    scene = started(known=False, discovery=True)
    scene.accepted["disco"][0].send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    found = scene.list("a", "b")
    found["hosts"] += [{"host": number} for number in range(FLOOD_LINES)]
    scene.tell(found)
    errors = protocol_errors(scene)
    assert 1 <= len(errors) <= LOGGED_A_SECOND
    assert errors[-1]["so_far"] == LOGGED_A_SECOND


def test_what_clients_break_does_not_hide_what_servers_break() -> None:
    # Guards against one allowance for all peers, which one bad client would use up.
    scene = started()
    for _ in range(3 * LOGGED_A_SECOND):
        scene.client("HELLO\r\n", then_ms=1.0)
    scene.open(1)
    scene.server().send("WHAT\r\n")
    scene.proxy.run(20.0)
    assert any(fields.get("server") for fields in protocol_errors(scene))
