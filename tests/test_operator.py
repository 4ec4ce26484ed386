"""The operator's file: every fault is named, and the daemon serves from it with no discovery at all."""

import json
import signal
import socket
import subprocess
import sys

import pytest

from wheathill.config import checked, operator
from wheathill.config.errors import ConfigurationError
from wheathill.log_events import LogEvent

GOOD = """
name = "edge"
listen = "127.0.0.1:0"
[[listener]]
name = "any"
repeat = "repeatable"
[[server]]
name = "a"
address = "127.0.0.1:%d"
"""


@pytest.mark.parametrize(
    "old, new, faults",
    [
        (
            'name = "edge"',
            'nam = "edge"',
            ["nam: no such key; did you mean name?", "name: is missing"],
        ),
        (
            '"repeatable"',
            '"often"\ndial_timout_ms = 5',
            [
                "listener[0].repeat: invalid enum value 'often', expected one of repeatable, referenced, once-only",
                "listener[0].dial_timout_ms: no such key; did you mean dial_timeout_ms?",
            ],
        ),
        (
            '"repeatable"',
            '"referenced"',
            [
                "listener[0].window_s: a referenced listener requires the deduplication window of its servers"
            ],
        ),
        (
            "[[server]]",
            '[limits]\nsockets = "many"\n[[server]]\nzone = "x"',
            ["limits.sockets: expected `int`, got `str`"],
        ),
        (
            "[[server]]",
            '[[server]]\nname = "a"\naddress = "127.0.0.1:1"\n[[server]]',
            ["server[1]: 'a' is already used by server[0]"],
        ),
        (
            "[[server]]",
            "[fleet]\nfurther_dials_free = 2\n[[server]]",
            [
                "fleet.further_dials_s: is required with further_dials_free or further_dials_share"
            ],
        ),
        (
            "[[server]]",
            "[fleet]\nslots = 5000\n[[server]]",
            [
                "fleet.slots: invalid enum value 5000, expected one of 512, 1024, 2048, 4096, 8192, 16384, 32768, 65536"
            ],
        ),
        ("127.0.0.1:0", "here:99999", ["listen: 'here:99999' is not HOST:PORT"]),
        ('name = "edge"', "name =", ["file.toml: Invalid value (at line 2, column 7)"]),
    ],
)
def test_faults(tmp_path, monkeypatch, old, new, faults):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "file.toml").write_text((GOOD % 1).replace(old, new, 1))
    with pytest.raises(ConfigurationError) as wrong:
        operator.check_file(checked.load_toml("file.toml"))
    assert str(wrong.value).splitlines() == faults


@pytest.mark.processes
def test_daemon_serves_and_reloads(tmp_path):
    server = socket.create_server(("127.0.0.1", 0))
    server.settimeout(8.0)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    path = tmp_path / "edge.toml"
    good = (GOOD % server.getsockname()[1]).replace("127.0.0.1:0", f"127.0.0.1:{port}")
    path.write_text(good)
    command = [sys.executable, "-m", "wheathill", "daemon", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:

        def until(event):
            return next(
                line
                for line in map(json.loads, process.stdout)
                if line["event"] == event
            )

        try:
            until("listening")
            with socket.create_connection(("127.0.0.1", port), 8.0) as client:
                client.sendall(b"OPEN id k c=any,d=2000\r\n")
                taken, _ = server.accept()
                assert taken.recv(100).startswith(b"OPEN id k c=any,d=")
                taken.sendall(b"UP r\r\n")
                assert client.recv(100) == b"UP r\r\n"
                path.write_text(good + 'stat = "ready"')
                process.send_signal(signal.SIGHUP)
                assert (
                    until(LogEvent.CONFIGURATION_ERROR)["what"]
                    == "server[0].stat: no such key; did you mean state?"
                )
                path.write_text(good + 'state = "draining"')
                process.send_signal(signal.SIGHUP)
                assert until(LogEvent.CONFIGURATION_RELOADED)["servers"] == 1
                assert client.recv(100) == b"MOVE\r\n"
            process.send_signal(signal.SIGTERM)
            assert process.wait(8) == 0
        finally:
            process.kill()


def test_the_documented_file():
    file = operator.check_file(checked.load_toml("deploy/daemon.toml"))
    for part in (
        file,
        file.limits,
        file.fleet,
        file.prices,
        file.goal,
        file.listener[0],
        file.server[0],
    ):
        for name in part.__struct_fields__:
            assert name in open("deploy/daemon.toml").read()
