"""Stand-in of the platform's metadata store, which daemons only read."""

import asyncio
import base64
import json
import urllib.parse

from standins import wire

PAGE_ITEMS = 500


class Store:
    """Holds items under keys; each change has a revision of its own."""

    def __init__(self):
        self._items: dict[str, dict] = {}
        self._revision = 1
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens for reads."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, value: dict) -> None:
        """Writes an item for the operator or a searcher."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        old = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": text,
            "rev": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": 0,
        }

    def remove(self, key: str) -> None:
        """Removes an item."""
        self._revision += 1
        self._items.pop(key, None)

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await wire.read_message(reader)) is not None:
                target = request.first_line.split(" ")[1]
                status, content = self._answer(target)
                body = json.dumps(content).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(wire.encode_response(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, target: str) -> tuple[int, dict]:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path != "/-/kv-range":
            return 404, {}
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields.get("prefix", ""))
            and key > fields.get("after", "")
        )
        return 200, {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store-revision": self._revision,
        }
