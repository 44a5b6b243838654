"""A daemon whose links to peers can be cut, for tests of partitions.

It reads a file beside its settings, `partition.json`: a list of groups of
`ADDRESS:PORT`. Daemons of different groups cannot reach each other.
"""

import asyncio
import pathlib
import random

import click
import orjson

from citrondoor import daemon
from citrondoor.daemon import main as daemon_main

POLL_S = 0.05
PARTITION_FILE = "partition.json"


class _Partition:
    """Which places cannot be reached now.

    Args:
      path: File that names the groups.
      own: `ADDRESS:PORT` of this daemon.
    """

    __slots__ = ("_groups", "_own", "_path")

    def __init__(self, path: pathlib.Path, own: str):
        self._path = path
        self._own = own
        self._groups: list[list[str]] = []

    def is_cut(self, place: str) -> bool:
        """Returns whether a place cannot be reached."""
        for group in self._groups:
            if self._own in group:
                return place not in group
        return False

    async def watch(self) -> None:
        """Reads the file again and again."""
        while True:
            try:
                self._groups = orjson.loads(self._path.read_bytes())
            except (OSError, orjson.JSONDecodeError):
                self._groups = []
            await asyncio.sleep(POLL_S)


class _CutWriter:
    """Loses what is written while the link is cut."""

    __slots__ = ("_partition", "_place", "_writer", "transport")

    def __init__(self, writer, partition: _Partition, place: str):
        self._writer = writer
        self._partition = partition
        self._place = place
        self.transport = writer.transport

    def write(self, payload: bytes) -> None:
        """Writes, or loses the bytes."""
        if not self._partition.is_cut(self._place):
            self._writer.write(payload)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class _Connector:
    """Opens connections that can be cut."""

    __slots__ = ("_partition", "_watching")

    def __init__(self, partition: _Partition):
        self._partition = partition
        self._watching: asyncio.Task | None = None

    async def __call__(self, address: str, port: int) -> tuple:
        if self._watching is None:
            self._watching = asyncio.create_task(self._partition.watch())
        place = f"{address}:{port}"
        if self._partition.is_cut(place):
            raise OSError("the link is cut")
        reader, writer = await asyncio.open_connection(address, port)
        return reader, _CutWriter(writer, self._partition, place)


@click.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(path_type=pathlib.Path)
)
def main(path: pathlib.Path) -> None:
    """Runs a daemon whose links can be cut."""
    settings = daemon.read_settings(path)
    own = f"{settings.address}:{settings.peer_port}"
    partition = _Partition(path.parent / PARTITION_FILE, own)
    daemon_main.run(settings, random.Random(), _Connector(partition))


if __name__ == "__main__":
    main()
