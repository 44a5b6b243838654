"""The daemon as a process, between stand-ins of callers and the platform."""

import asyncio
import signal

from tests.platform import deployment as deployments


def run(tmp_path, body, **changes):
    async def whole():
        async with deployments.Deployment(tmp_path, **changes) as deployment:
            return await body(deployment)

    return asyncio.run(whole())


def test_a_query_is_gathered_and_every_daemon_is_in_the_directory(tmp_path):
    async def body(deployment):
        first, second = deployment.daemons
        both = {f"{deployments.HOST}:{d.front}" for d in deployment.daemons}

        async def is_whole():
            return await deployment.addresses(first) == both

        await deployment.wait_until(is_whole)
        response = await deployment.send_request(second)
        stamps = response.header_value(b"x-part-stamps").split(b", ")
        assert len({s.partition(b"-")[0] for s in stamps}) == 3
        assert response.header_value(b"x-missing-parts") == b"0"
        records = [response.body[i : i + 16] for i in range(0, 48, 16)]
        assert records == sorted(records, reverse=True)

    run(tmp_path, body)


def test_a_daemon_that_is_killed_leaves_the_directory(tmp_path):
    async def body(deployment):
        first, second = deployment.daemons
        second.process.send_signal(signal.SIGKILL)

        async def is_gone():
            return len(await deployment.addresses(first)) == 1

        # Callers may be sent to a dead daemon for 7 s; the answer's time to
        # live comes on top.
        await deployment.wait_until(is_gone, timeout_s=4.0)

    run(tmp_path, body)


def test_a_shutdown_answers_every_request_and_leaves_the_directory(tmp_path):
    async def body(deployment):
        first, second = deployment.daemons
        for searcher in deployment.searchers:
            searcher.work_s = 0.1
        asked = asyncio.create_task(deployment.send_request(second))
        await asyncio.sleep(0.05)
        second.process.send_signal(signal.SIGTERM)
        late = []
        while len(late) < 4:
            late.append(await deployment.send_request(second))
            await asyncio.sleep(0.05)
        answers = [await asked, *late]
        assert [a.status for a in answers] == [200] * 5
        assert all(a.header_value(b"connection") == b"close" for a in late)
        assert await deployment.addresses(first) == {
            f"{deployments.HOST}:{first.front}"
        }
        assert await second.process.wait() == 0
        assert second.lines()[-1]["event"] == "stopped"
        assert second.lines()[-1]["unanswered"] == 0

    # The requests above take 0.65 s alone. With a grace of one second, of which
    # 0.6 s are served, a run beside heavy load reached the end of that.
    run(tmp_path, body, grace_s=3.0)


def test_a_new_version_is_in_force_on_every_daemon_and_stays(tmp_path):
    async def body(deployment):
        config = deployment.config(5)
        config["routes"] = config["routes"][:1]
        deployment.store.put("op/config", config)

        async def is_dropped():
            answers = [
                await deployment.send_request(d, b"/once/x", b"POST")
                for d in deployment.daemons
            ]
            return [a.status for a in answers] == [404, 404]

        await deployment.wait_until(is_dropped, timeout_s=3.0)
        deployment.store.put("op/config", deployment.config(2))
        await asyncio.sleep(1.0)
        assert await is_dropped()

    run(tmp_path, body)


def test_a_draining_searcher_gets_no_work_after_three_seconds(tmp_path):
    async def body(deployment):
        searcher = deployment.searchers[0]
        deployment.store.put(
            f"servers/{searcher.id}", searcher.registration("draining")
        )
        await asyncio.sleep(3.0)
        seen = len(searcher.ran)
        for _ in range(10):
            response = await deployment.send_request(deployment.daemons[1])
            assert response.header_value(b"x-missing-parts") == b"0"
        assert len(searcher.ran) == seen

    run(tmp_path, body)


def test_a_store_that_is_down_changes_nothing_for_callers(tmp_path):
    async def body(deployment):
        deployment.store.status = 503
        await asyncio.sleep(2.5)
        for daemon in deployment.daemons:
            assert (await deployment.send_request(daemon)).status == 200
        events = [x["event"] for d in deployment.daemons for x in d.lines()]
        assert "store_lost" in events
        deployment.store.status = 200
        await asyncio.sleep(1.0)
        events = [x["event"] for d in deployment.daemons for x in d.lines()]
        assert "store_regained" in events

    run(tmp_path, body)


def test_an_address_of_another_searcher_runs_nothing(tmp_path):
    async def body(deployment):
        moved, others = deployment.searchers[:2], deployment.searchers[2:4]
        for searcher in moved:
            searcher.id += "-gone"
        response = await deployment.send_request(deployment.daemons[0])
        assert response.status == 200
        assert response.header_value(b"x-missing-parts") == b"1"
        assert [s.ran for s in moved] == [[], []]
        assert sum(len(s.ran) for s in others) == 1

    run(tmp_path, body)


def test_metrics_are_served(tmp_path):
    async def body(deployment):
        daemon = deployment.daemons[0]
        await deployment.send_request(daemon)

        async def is_served():
            try:
                response = await deployments.ask(daemon.metrics, b"/metrics")
            except OSError:
                return False
            return b"citrondoor_requests_total" in response.body

        await deployment.wait_until(is_served)

    run(tmp_path, body)
