"""Parses addresses of the form `host:port` in settings and messages."""

from citrondoor import errors

MAX_PORT = 65_535


def split_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
      errors.ParameterError: The text has no host, or no port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise errors.ParameterError("address", text, "write IP:PORT")
    return host, int(port)
