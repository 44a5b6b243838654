"""Generated classes of `schema/serving.thrift`."""

from citrondoor.schema.generated.serving.ttypes import *  # noqa: F403
