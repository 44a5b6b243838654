"""Passes on to other daemons what searchers say of themselves.

Handles a searcher that leaves or names a limit: otherwise each daemon would
have to send it a request to find out. A daemon that learns something new tells
its peers, and these tell theirs. Pauses are not passed on, since a searcher
wants them from one daemon only.
"""

from citrondoor.entry import _dispatcher
from citrondoor.entry import _peer_network
from citrondoor.schema import messages


class SearcherReports:
    """Collects reports of searchers until `flush`, and applies those of peers.

    Args:
      peers: Links to the other daemons.
      dispatcher: Records what searchers say.
    """

    __slots__ = ("_dispatcher", "_peers", "_pending")

    def __init__(
        self,
        peers: _peer_network.PeerNetwork,
        dispatcher: _dispatcher.Dispatcher,
    ):
        self._peers = peers
        self._dispatcher = dispatcher
        # The newest report of each searcher since the last flush.
        self._pending: dict[str, messages.SearcherReport] = {}
        dispatcher.set_report_listener(self.on_news)
        peers.register_notification_handler(
            messages.SearcherReports, self.on_reports
        )

    def on_news(self, report: messages.SearcherReport) -> None:
        """Queues what this daemon has just learned of a searcher."""
        self._pending[report.upstream_id] = report

    def flush(self) -> None:
        """Sends the queued reports to all linked peers, in one message each."""
        if self._pending:
            reports = list(self._pending.values())
            self._pending.clear()
            self._peers.notify_all(messages.SearcherReports(reports))

    def on_reports(
        self, message: messages.SearcherReports, sender: str
    ) -> None:
        """Applies what a peer learned; what is new here is passed on."""
        for report in message.reports:
            self._dispatcher.record_report(report, sender)
