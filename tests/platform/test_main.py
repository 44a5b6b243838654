"""The daemon as a process, between stand-ins of callers and the platform."""

import asyncio
import signal

from tests.platform import world as worlds


def run(tmp_path, body, **changes):
    async def whole():
        async with worlds.World(tmp_path, **changes) as world:
            return await body(world)

    return asyncio.run(whole())


def test_a_query_is_gathered_and_every_daemon_is_in_the_directory(tmp_path):
    async def body(world):
        first, second = world.daemons
        both = {f"{worlds.HOST}:{d.front}" for d in world.daemons}

        async def is_whole():
            return await world.addresses(first) == both

        await world.until(is_whole)
        response = await world.get(second)
        stamps = response.header_value(b"x-part-stamps").split(b", ")
        assert len({s.partition(b"-")[0] for s in stamps}) == 3
        assert response.header_value(b"x-missing-parts") == b"0"
        records = [response.body[i : i + 16] for i in range(0, 48, 16)]
        assert records == sorted(records, reverse=True)

    run(tmp_path, body)


def test_a_daemon_that_is_killed_leaves_the_directory(tmp_path):
    async def body(world):
        first, second = world.daemons
        second.process.send_signal(signal.SIGKILL)

        async def is_gone():
            return len(await world.addresses(first)) == 1

        # Callers may be sent to a dead daemon for 7 s; the answer's time to
        # live comes on top.
        await world.until(is_gone, timeout_s=4.0)

    run(tmp_path, body)


def test_a_shutdown_answers_every_request_and_leaves_the_directory(tmp_path):
    async def body(world):
        first, second = world.daemons
        for searcher in world.searchers:
            searcher.work_s = 0.1
        asked = asyncio.create_task(world.get(second))
        await asyncio.sleep(0.05)
        second.process.send_signal(signal.SIGTERM)
        late = []
        while len(late) < 4:
            late.append(await world.get(second))
            await asyncio.sleep(0.05)
        answers = [await asked, *late]
        assert [a.status for a in answers] == [200] * 5
        assert all(a.header_value(b"connection") == b"close" for a in late)
        assert await world.addresses(first) == {f"{worlds.HOST}:{first.front}"}
        assert await second.process.wait() == 0
        assert second.lines()[-1]["event"] == "stopped"
        assert second.lines()[-1]["unanswered"] == 0

    # The requests above take 0.65 s alone. With a grace of one second, of which
    # 0.6 s are served, a run beside heavy load reached the end of that.
    run(tmp_path, body, grace_s=3.0)


def test_a_new_version_is_in_force_on_every_daemon_and_stays(tmp_path):
    async def body(world):
        config = world.config(5)
        config["routes"] = config["routes"][:1]
        world.store.put("op/config", config)

        async def is_dropped():
            answers = [
                await world.get(d, b"/once/x", b"POST") for d in world.daemons
            ]
            return [a.status for a in answers] == [404, 404]

        await world.until(is_dropped, timeout_s=3.0)
        world.store.put("op/config", world.config(2))
        await asyncio.sleep(1.0)
        assert await is_dropped()

    run(tmp_path, body)


def test_a_draining_searcher_gets_no_work_after_three_seconds(tmp_path):
    async def body(world):
        searcher = world.searchers[0]
        world.store.put(f"servers/{searcher.id}", searcher.entry("draining"))
        await asyncio.sleep(3.0)
        seen = len(searcher.ran)
        for _ in range(10):
            response = await world.get(world.daemons[1])
            assert response.header_value(b"x-missing-parts") == b"0"
        assert len(searcher.ran) == seen

    run(tmp_path, body)


def test_a_store_that_is_down_changes_nothing_for_callers(tmp_path):
    async def body(world):
        world.store.status = 503
        await asyncio.sleep(2.5)
        for daemon in world.daemons:
            assert (await world.get(daemon)).status == 200
        events = [x["event"] for d in world.daemons for x in d.lines()]
        assert "store_lost" in events
        world.store.status = 200
        await asyncio.sleep(1.0)
        events = [x["event"] for d in world.daemons for x in d.lines()]
        assert "store_regained" in events

    run(tmp_path, body)


def test_an_address_of_another_searcher_runs_nothing(tmp_path):
    async def body(world):
        moved, others = world.searchers[:2], world.searchers[2:4]
        for searcher in moved:
            searcher.id += "-gone"
        response = await world.get(world.daemons[0])
        assert response.status == 200
        assert response.header_value(b"x-missing-parts") == b"1"
        assert [s.ran for s in moved] == [[], []]
        assert sum(len(s.ran) for s in others) == 1

    run(tmp_path, body)


def test_metrics_are_served(tmp_path):
    async def body(world):
        daemon = world.daemons[0]
        await world.get(daemon)

        async def is_served():
            try:
                response = await worlds.ask(daemon.metrics, b"/metrics")
            except OSError:
                return False
            return b"citrondoor_requests_total" in response.body

        await world.until(is_served)

    run(tmp_path, body)
