"""Status report of a daemon, for operators and readiness probes."""

from collections.abc import Callable

from citrondoor import declarations as declared
from citrondoor import engine
from citrondoor import links
from citrondoor.schema import messages


class StatusReporter:
    """Builds the JSON content of the status and configuration routes.

    Args:
      view: The daemon's local view of the cluster.
      pool: Links to searchers.
      incarnation: Incarnation number of this start of the daemon.
      state: Returns the daemon's lifecycle state, such as `serving`.
      revision: Returns the revision of the active configuration.
      counters: Functions that return the current value of each counter, by
        name.
    """

    __slots__ = (
        "_counters",
        "_incarnation",
        "_pool",
        "_revision",
        "_state",
        "_view",
    )

    def __init__(
        self,
        view: engine.ClusterView,
        pool: links.UpstreamPool,
        incarnation: int,
        state: Callable[[], str],
        revision: Callable[[], int],
        counters: dict[str, Callable[[], float]],
    ):
        self._view = view
        self._pool = pool
        self._incarnation = incarnation
        self._state = state
        self._revision = revision
        self._counters = counters

    def state(self) -> str:
        """Returns the daemon's lifecycle state."""
        return self._state()

    def is_ready(self) -> bool:
        """Returns whether callers may use this daemon.

        It must be serving, and its VM and zone must be declared in service.
        """
        is_in_service = self._view.catalogue.is_vm_in_service(self._view.vm)
        return self._state() == "serving" and is_in_service

    def configuration(self) -> dict:
        """Returns the active revision and a digest of each active item."""
        documents = self._view.catalogue.documents
        return {
            "revision": self._revision(),
            "documents": {
                summary.key: summary.items
                for summary in declared.summarize(documents)
            },
        }

    def content(self) -> dict:
        """Returns the daemon's status, for encoding as JSON."""
        catalogue = self._view.catalogue
        return {
            "vm": self._view.vm,
            "zone": self._view.zone,
            "incarnation": self._incarnation,
            "state": self._state(),
            "ready": self.is_ready(),
            "revision": self._revision(),
            "zones": {
                name: "in" if catalogue.is_zone_in_service(name) else "out"
                for name in sorted(catalogue.zones)
            },
            "members": [
                {
                    "vm": member.vm,
                    "incarnation": member.incarnation,
                    "state": messages.MemberState(member.state).name.lower(),
                }
                for member in self._view.members.all_members
            ],
            "connections": sum(
                link.connection_count for link in self._pool.links.values()
            ),
            "counters": {
                name: read() for name, read in sorted(self._counters.items())
            },
        }
