"""Generated classes of `schema/messages.thrift`."""

from citrondoor.schema.generated.messages.ttypes import *  # noqa: F403
