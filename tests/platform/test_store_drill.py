"""Daemon processes while the store comes back from a copy."""

import asyncio

from tests.platform import test_main

# Time for which the store is away.
AWAY_S = 0.3
# Time in which what the store acknowledged is in force on all daemons.
IN_FORCE_S = 3.0
# More than a searcher takes to write its entry again after a drill.
SETTLED_S = 4.0


async def come_back(store, copy):
    """Takes the store away for a moment; it comes back from a copy."""
    store.status = 503
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    store.status = 200


def test_a_version_at_a_revision_that_is_given_out_again_is_in_force(tmp_path):
    # Guards against a configuration that is taken for the one before the
    # return from the copy, since that had the same revision.
    async def body(deployment):
        store = deployment.store
        copy = store.copy()
        store.remove(f"servers/{deployment.searchers[0].id}")
        store.put("op/config", deployment.config(4))
        revision = store.revision
        await asyncio.sleep(1.0)
        await come_back(store, copy)
        # The operator writes the lost version again, and then the next one.
        store.put("op/config", deployment.config(4))
        config = deployment.config(6)
        config["routes"] = config["routes"][:1]
        store.put("op/config", config)
        assert store.revision == revision
        await asyncio.sleep(IN_FORCE_S)
        for daemon in deployment.daemons:
            answer = await deployment.send_request(daemon, b"/once/x", b"POST")
            assert answer.status == 404

    test_main.run(tmp_path, body)


def test_drains_and_evacuations_hold_at_lower_revisions(tmp_path):
    # Guards against daemons that ignore the store until it has assigned as
    # many revisions as before its return from the copy.
    async def body(deployment):
        store = deployment.store
        draining, evacuated, *_ = deployment.searchers
        copy = store.copy()
        for _ in range(20):
            store.put("op/evacuate/z", {})
        await asyncio.sleep(1.0)
        await come_back(store, copy)
        await asyncio.sleep(SETTLED_S)
        store.put(f"servers/{draining.id}", draining.registration("draining"))
        await asyncio.sleep(IN_FORCE_S)
        await assert_unused(deployment, draining, missing=0)
        store.put(f"servers/{draining.id}", draining.registration())
        store.put(
            f"servers/{evacuated.id}", evacuated.registration() | {"zone": "b"}
        )
        store.put("op/evacuate/b", {})
        await asyncio.sleep(IN_FORCE_S)
        await assert_unused(deployment, evacuated, missing=0)

    test_main.run(tmp_path, body)


def test_a_copy_brings_no_searcher_back_that_has_drained_or_left(tmp_path):
    # Guards against requests to a searcher that the copy lists as ready.
    async def body(deployment):
        store = deployment.store
        drained, left, *others = deployment.searchers
        copy = store.copy()
        store.put(f"servers/{drained.id}", drained.registration("draining"))
        store.remove(f"servers/{left.id}")
        await asyncio.sleep(1.0)
        await come_back(store, copy)
        for _ in range(10):
            await assert_unused(deployment, drained)
            await assert_unused(deployment, left)
        # It starts again, and is another incarnation.
        store.put(f"servers/{left.id}", left.registration() | {"born": 2})
        store.remove(f"servers/{drained.id}")
        await asyncio.sleep(IN_FORCE_S)
        ran_before = len(left.ran)
        await send_requests(deployment)
        assert len(left.ran) > ran_before

    test_main.run(tmp_path, body, shards=1, replicas=3)


async def send_requests(deployment):
    return [
        await deployment.send_request(daemon)
        for daemon in deployment.daemons
        for _ in range(5)
    ]


async def assert_unused(deployment, searcher, missing=None):
    ran_before = len(searcher.ran)
    for answer in await send_requests(deployment):
        assert answer.status == 200
        if missing is not None:
            assert answer.header_value(b"x-missing-parts") == b"%d" % missing
    assert len(searcher.ran) == ran_before
