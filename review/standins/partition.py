"""Proxies before the daemons' peer ports, which can cut a zone off."""

import asyncio

from standins import deployment as deployments
from standins import record as records

CHUNK_BYTES = 65_536
# A daemon's first message holds the name of its VM.
HELLO_TIMEOUT_S = 5.0


class Partition:
    """Forwards connections between daemons, or holds their bytes.

    While a zone is cut off, bytes between it and the others are held, and
    connections are accepted but get no answer, as on a link that has gone
    silent. Bytes that are held are lost if their sender resets the connection.

    Args:
      vms: The entry VMs.
      record: Where it writes cuts.
    """

    def __init__(self, vms: list[deployments.Vm], record: records.Record):
        self._vms = vms
        self._record = record
        self._cut_zone = ""
        self._healed = asyncio.Event()
        self._healed.set()

    async def start(self) -> None:
        """Listens at the addresses that peers dial."""
        for vm in self._vms:
            await asyncio.start_server(
                lambda reader, writer, vm=vm: self._accept(reader, writer, vm),
                deployments.PROXY_HOST,
                vm.ports["peers"],
            )

    def cut(self, zone: str) -> None:
        """Cuts a zone off from the others."""
        self._record.write("cut", zone=zone)
        self._cut_zone = zone
        self._healed.clear()

    def heal(self) -> None:
        """Ends the cut."""
        self._record.write("heal", zone=self._cut_zone)
        self._cut_zone = ""
        self._healed.set()

    async def _accept(self, reader, writer, target: deployments.Vm) -> None:
        try:
            hello = await asyncio.wait_for(
                reader.read(CHUNK_BYTES), HELLO_TIMEOUT_S
            )
            source = next(v for v in self._vms if v.name.encode() in hello)
            await self._wait(source, target)
            far_reader, far_writer = await asyncio.open_connection(
                deployments.HOST, target.ports["peers"]
            )
        except (OSError, TimeoutError, StopIteration):
            writer.transport.abort()
            return
        far_writer.write(hello)
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, source, target)),
            asyncio.create_task(self._pump(far_reader, writer, source, target)),
        }
        await asyncio.wait(pumps, return_when="FIRST_COMPLETED")
        for pump in pumps:
            pump.cancel()
        writer.transport.abort()
        far_writer.transport.abort()

    async def _pump(self, reader, writer, source, target) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._is_cut(source, target):
                    await self._wait(source, target)
                    # Lets the stream notice that its sender has gone.
                    await asyncio.sleep(0)
                    if reader.at_eof() or reader.exception():
                        return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def _is_cut(self, source: deployments.Vm, target: deployments.Vm) -> bool:
        is_source_in = source.zone == self._cut_zone
        return is_source_in != (target.zone == self._cut_zone)

    async def _wait(self, source, target) -> None:
        while self._is_cut(source, target):
            await self._healed.wait()
