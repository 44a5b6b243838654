import asyncio

from citrondoor import clock as clocks
from citrondoor import links


def test_a_connection_that_fails_in_its_turn_does_not_hold_up_the_others():
    async def body():
        problems = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: problems.append(context["exception"])
        )
        turns = links.ReadTurns(clocks.Clock())
        turns.spend(2_500)
        served = []

        def fail():
            raise OSError("the socket is closed")

        turns.wait(fail)
        turns.wait(lambda: served.append("next"))
        await asyncio.sleep(0.3)
        return served, len(problems)

    assert asyncio.run(body()) == (["next"], 1)
