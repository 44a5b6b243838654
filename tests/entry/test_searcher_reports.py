import asyncio

from citrondoor import entry
from citrondoor.schema import messages
from tests import serving_samples as samples
from tests.entry import test_dispatcher

UPSTREAM = samples.upstream("i-1")
SPARE = samples.upstream("i-2")


class FakePeerNetwork:
    """Delivers notifications to the linked daemons when a test asks for it."""

    def __init__(self, name):
        self.name = name
        self.linked = []
        self.handler = None
        self.sent = []

    def register_notification_handler(self, kind, handler):
        self.handler = handler

    def notify_all(self, message):
        self.sent.append(message)
        for peer in self.linked:
            peer.handler(message, self.name)


class Daemon:
    """What one daemon knows of the searchers."""

    def __init__(self, name):
        self.peers = FakePeerNetwork(name)
        self.harness = test_dispatcher.Harness(
            lambda upstream, outbound: (0.0, None),
            [samples.route()],
            [UPSTREAM, SPARE],
        )
        self.reports = entry.SearcherReports(
            self.peers, self.harness.dispatcher
        )

    def hear(self, **statements):
        """Records an answer of the searcher to this daemon itself."""
        reply = test_dispatcher.answered(UPSTREAM)
        reply.statements = messages.SearcherStatements(**statements)
        self.harness.dispatcher.record_statements(UPSTREAM, reply)

    @property
    def usable_ids(self):
        registry = self.harness.view.registry
        return [u.id for u in registry.usable_upstreams("store")]

    @property
    def has_limit(self):
        return self.harness.dispatcher._stated_rates.is_limited(UPSTREAM)


def make_ring(count):
    """Returns daemons of which each is linked to the next two."""
    daemons = [Daemon(f"vm-{n}") for n in range(count)]
    for number, daemon in enumerate(daemons):
        daemon.peers.linked = [
            daemons[(number + step) % count].peers for step in (1, 2)
        ]
    return daemons


def flush_until_quiet(daemons):
    while any(daemon.reports._pending for daemon in daemons):
        for daemon in daemons:
            daemon.reports.flush()


def test_all_daemons_stop_using_a_searcher_that_told_one_that_it_leaves():
    daemons = make_ring(78)
    daemons[0].hear(is_leaving=True)
    flush_until_quiet(daemons)
    assert all(daemon.usable_ids == ["i-2"] for daemon in daemons)
    # Each tells what it learned once.
    assert all(len(daemon.peers.sent) == 1 for daemon in daemons)


def test_all_daemons_keep_to_a_limit_that_one_has_heard_of():
    daemons = make_ring(5)
    daemons[0].hear(rate_limit_per_s=3.0)
    flush_until_quiet(daemons)
    assert all(daemon.has_limit for daemon in daemons)
    # A limit that ends or changes is heard from the searcher's own answers.
    daemons[1].hear()
    daemons[2].hear(rate_limit_per_s=4.0)
    flush_until_quiet(daemons)
    assert [daemon.has_limit for daemon in daemons] == [
        True,
        False,
        True,
        True,
        True,
    ]


def test_a_report_of_an_earlier_incarnation_or_unknown_searcher_is_ignored():
    (daemon,) = make_ring(1)
    leaving = messages.SearcherStatements(is_leaving=True)
    reports = [
        messages.SearcherReport("i-1", 99, leaving),
        messages.SearcherReport("unknown", 1, leaving),
    ]
    daemon.reports.on_reports(messages.SearcherReports(reports), "vm-9")
    assert daemon.usable_ids == ["i-1", "i-2"]
    daemon.reports.flush()
    assert daemon.peers.sent == []


def test_a_peer_tells_that_a_searcher_of_an_evacuated_zone_is_leaving():
    # Guards against a report that is dropped while its searcher cannot be used.
    (daemon,) = make_ring(1)
    registry = daemon.harness.view.registry
    registry.set_evacuated(frozenset({UPSTREAM.zone}))
    leaving = messages.SearcherStatements(is_leaving=True)
    report = messages.SearcherReport("i-1", UPSTREAM.born_ms, leaving)
    daemon.reports.on_reports(messages.SearcherReports([report]), "vm-9")
    registry.set_evacuated(frozenset())
    assert daemon.usable_ids == ["i-2"]


def test_a_peer_tells_that_a_searcher_without_an_entry_is_leaving():
    # Guards against a report that is dropped while the entry is missing.
    (daemon,) = make_ring(1)
    leaving = messages.SearcherStatements(is_leaving=True)
    report = messages.SearcherReport("i-3", 1, leaving)
    daemon.reports.on_reports(messages.SearcherReports([report]), "vm-9")
    registry = daemon.harness.view.registry
    registry.apply_listing([UPSTREAM, SPARE, samples.upstream("i-3")], 9, 0)
    assert daemon.usable_ids == ["i-1", "i-2"]


def test_a_pause_is_not_passed_on():
    (daemon,) = make_ring(1)

    async def turn_away():
        daemon.harness.dispatcher.record_statements(
            UPSTREAM, test_dispatcher.turned_away(5000)
        )

    asyncio.run(turn_away())
    assert daemon.harness.dispatcher.pause_ms(UPSTREAM) > 0
    daemon.reports.flush()
    assert daemon.peers.sent == []
