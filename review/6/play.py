"""An upgrade cuts off the sessions of a server that the list has called gone."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))

from sites import edinburgh_main
from stage import Agent, CannotRunError, Stage, main, with_trouble

SESSIONS, SESSIONS_A_SECOND = 240, 24.0
# The list is without s1 for 6 s, as long as a partition lasts.
GONE_S, UPGRADE_S, LISTED_S, END_S = 12.0, 14.0, 18.0, 20.0


async def play(stage: Stage) -> str:
    """Upgrade the proxy while it holds sessions of a server that is listed as gone."""
    servers = [
        *await stage.add_servers("s1 s2", zone="south-gyle"),
        *await stage.add_servers("s3 s4", zone="newbridge", cell=1),
    ]
    agent = Agent(stage.record)
    agent.load(servers)
    agent.answers_whole = True
    await agent.start()
    stage.hold_listening_socket()
    stage.configure(edinburgh_main(), agent)
    old = await stage.start_proxy("old")
    start = stage.record.now()
    for number in range(SESSIONS):
        await stage.until(start + number / SESSIONS_A_SECOND)
        stage.open("ledger-watch")
    await stage.until(start + GONE_S)
    if with_trouble():
        agent.set(servers[0].entry("gone"))
    await stage.until(start + UPGRADE_S)
    held = [each for each in stage.clients if each.server == "s1" and not each.end]
    await stage.start_proxy("new")
    old.signal(signal.SIGTERM)
    await stage.until(start + LISTED_S)
    if with_trouble():
        agent.set(servers[0].entry("ready"))
    await stage.until(start + END_S)
    if len(held) < SESSIONS / 20:
        raise CannotRunError(f"s1 held only {len(held)} sessions before the upgrade")
    cut = [client for client in held if client.end == "cut off"]
    if cut:
        return f"{len(cut)} of {len(held)} sessions of s1 cut off without MOVE"
    return ""


if __name__ == "__main__":
    main(play)
