"""Generated classes of `schema/settings.thrift`."""

from citrondoor.schema.generated.settings.ttypes import *  # noqa: F403
