"""Daemon processes while the store comes back from a copy."""

import asyncio

from tests.platform import test_main

# Time for which the store is away.
AWAY_S = 0.3
# Time in which what the store acknowledged is in force on all daemons.
IN_FORCE_S = 3.0


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
