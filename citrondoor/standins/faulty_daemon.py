"""A daemon with links to peers that can be cut, for tests of partitions.

It polls the file `partition.json` in the directory of its settings: a list of
groups, each a list of peer endpoints `ADDRESS:PORT`. Daemons in different
groups can't reach each other. Without the file, no link is cut.
"""

import asyncio
import pathlib
import random
import sys

import click
import orjson

from citrondoor.daemon import command

POLL_S = 0.05
PARTITION_FILE = "partition.json"


class _Partition:
    """Endpoints of peers that this daemon currently can't reach.

    Args:
      path: File that lists the groups.
      own_endpoint: `ADDRESS:PORT` of this daemon for its peers.
    """

    __slots__ = ("_groups", "_own_endpoint", "_path")

    def __init__(self, path: pathlib.Path, own_endpoint: str):
        self._path = path
        self._own_endpoint = own_endpoint
        self._groups: list[list[str]] = []

    def is_cut(self, endpoint: str) -> bool:
        """Returns whether the link to an endpoint is cut.

        A daemon that is in no group reaches all endpoints.
        """
        for group in self._groups:
            if self._own_endpoint in group:
                return endpoint not in group
        return False

    async def poll_file(self) -> None:
        """Reads the file every `POLL_S`; a missing file means no groups."""
        while True:
            try:
                self._groups = orjson.loads(self._path.read_bytes())
            except (OSError, orjson.JSONDecodeError):
                self._groups = []
            await asyncio.sleep(POLL_S)


class _CutWriter:
    """Stream writer that discards what is written while the link is cut."""

    __slots__ = ("_endpoint", "_partition", "_writer", "transport")

    def __init__(self, writer, partition: _Partition, endpoint: str):
        self._writer = writer
        self._partition = partition
        self._endpoint = endpoint
        self.transport = writer.transport

    def write(self, payload: bytes) -> None:
        """Writes the bytes, or discards them while the link is cut."""
        if not self._partition.is_cut(self._endpoint):
            self._writer.write(payload)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class _Connector:
    """Opens connections to peers that the partition file can cut."""

    __slots__ = ("_partition", "_poll_task")

    def __init__(self, partition: _Partition):
        self._partition = partition
        self._poll_task: asyncio.Task | None = None

    async def __call__(self, address: str, port: int) -> tuple:
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._partition.poll_file())
        endpoint = f"{address}:{port}"
        if self._partition.is_cut(endpoint):
            raise OSError("the link is cut")
        reader, writer = await asyncio.open_connection(address, port)
        return reader, _CutWriter(writer, self._partition, endpoint)


@click.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(path_type=pathlib.Path)
)
def main(path: pathlib.Path) -> None:
    """Runs a daemon whose links can be cut."""
    settings = command.read_settings(path)
    own_endpoint = f"{settings.address}:{settings.peer_port}"
    partition = _Partition(path.parent / PARTITION_FILE, own_endpoint)
    sys.exit(command.run(settings, random.Random(), _Connector(partition)))


if __name__ == "__main__":
    main()
