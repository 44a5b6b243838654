"""Generated classes of `schema/declarations.thrift`."""

from citrondoor.schema.generated.declarations.ttypes import *  # noqa: F403
