"""Puts messages into the body of an envelope and takes them out."""

from citrondoor import errors
from citrondoor.schema import messages

_FIELD_TYPE_ARGUMENT = 3
_FIELD_NAME = 2
_NAME_OF_KIND = {
    field[_FIELD_TYPE_ARGUMENT][0]: field[_FIELD_NAME]
    for field in messages.Body.thrift_spec
    if field
}


def wrap(message) -> messages.Body:
    """Returns a body that carries a message."""
    body = messages.Body()
    setattr(body, _NAME_OF_KIND[type(message)], message)
    return body


def unwrap(body: messages.Body):
    """Returns the message that a body carries.

    Raises:
      errors.FrameError: The body is empty.
    """
    for name in _NAME_OF_KIND.values():
        message = getattr(body, name)
        if message is not None:
            return message
    raise errors.FrameError(
        "a peer sent an empty message; run compatible versions"
    )
