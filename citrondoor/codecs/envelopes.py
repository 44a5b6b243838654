"""Wraps messages in the body of a peer envelope and unwraps them."""

from citrondoor import errors
from citrondoor.schema import messages

# Positions in a field's entry of the generated `thrift_spec`.
_SPEC_TYPE_ARGUMENT = 3
_SPEC_NAME = 2
_FIELD_BY_MESSAGE_TYPE = {
    field[_SPEC_TYPE_ARGUMENT][0]: field[_SPEC_NAME]
    for field in messages.Body.thrift_spec
    if field
}


def wrap(message) -> messages.Body:
    """Returns a body whose field for the message's type is set."""
    body = messages.Body()
    setattr(body, _FIELD_BY_MESSAGE_TYPE[type(message)], message)
    return body


def unwrap(body: messages.Body):
    """Returns the message in a body.

    Raises:
      errors.FrameError: The body is empty.
    """
    for name in _FIELD_BY_MESSAGE_TYPE.values():
        message = getattr(body, name)
        if message is not None:
            return message
    raise errors.FrameError(
        "a peer sent an empty message; run compatible versions"
    )
