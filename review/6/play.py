"""At a planned restart, servers that hang within a line keep all others from moving."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))

from sites import edinburgh_main
from stage import Agent, CannotRunError, Server, Stage, main, with_trouble

SESSIONS, SESSIONS_A_SECOND = 320, 24.0
HANG_S, STOP_S = 15.0, 15.3
# New connections go on coming for 0.2 to 0.4 s after SIGTERM. SIGKILL comes after the
# longest deadline, 3 s at most, and 0.7 s.
FRONT_S, KILL_S = 0.3, 3.7
PIECE_S, ROW_EVERY_S = 0.3, 2.0


class StreamingServer(Server):
    """A server that streams rows to its clients, each in two pieces.

    Attributes:
        hangs: whether it has stopped in the middle of its work.
    """

    hangs = False

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        streaming: asyncio.Task[None] | None = None
        try:
            while line := (await reader.readuntil(b"\r\n")).rstrip(b"\r\n"):
                if self.hangs:
                    continue
                if line == b"STATS":
                    writer.write(b"PONG " + self.report() + b"\r\n")
                elif streaming is None:
                    session = line.split(b" ")[1].decode()
                    self.record.note("open", server=self.name, id=session)
                    self.held.add(writer)
                    writer.write(f"UP r-{self.name}-{session}\r\n".encode())
                    streaming = asyncio.create_task(self._stream(writer))
                else:
                    writer.write(b"got " + line + b"\r\n")
        finally:
            if streaming is not None:
                streaming.cancel()

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(ROW_EVERY_S - PIECE_S)
            if not self.hangs:
                writer.write(b"row 12")
                await asyncio.sleep(PIECE_S)
                if not self.hangs:
                    writer.write(b"34\r\n")


async def play(stage: Stage) -> str:
    """Tell the proxy to end while four of eight servers hang."""
    servers = []
    for number in range(8):
        zone = ("south-gyle", "newbridge")[number % 2]
        server = StreamingServer(f"s{number + 1}", stage.record, zone, number // 4)
        await server.start()
        stage.servers[server.name] = server
        servers.append(server)
    agent = Agent(stage.record)
    agent.load(list(servers))
    await agent.start()
    stage.configure(edinburgh_main(), agent)
    proxy = await stage.start_proxy("proxy")
    start = stage.record.now()
    for number in range(SESSIONS):
        await stage.until(start + number / SESSIONS_A_SECOND)
        stage.open("ledger-watch")
    await stage.until(start + HANG_S)
    hung = servers[:4] if with_trouble() else []
    for server in hung:
        server.hangs = True
        stage.record.note("hangs", server=server.name)
    await stage.until(start + STOP_S)
    names = {server.name for server in hung}
    sound = [
        client
        for client in stage.clients
        if client.answer == "UP" and not client.end and client.server not in names
    ]
    proxy.signal(signal.SIGTERM)
    await stage.until(start + STOP_S + FRONT_S)
    stage.is_front_away = True
    await stage.until(start + STOP_S + KILL_S)
    proxy.signal(signal.SIGKILL)
    await asyncio.sleep(0.3)
    if len(sound) < SESSIONS / 4:
        raise CannotRunError(f"only {len(sound)} sessions were up at sound servers")
    lost = [client for client in sound if client.end != "MOVE"]
    if lost:
        return (
            f"{len(lost)} of {len(sound)} sessions of servers that did not hang"
            " were cut off without MOVE"
        )
    return ""


if __name__ == "__main__":
    main(play)
