import asyncio
import random

from citrondoor.standins import client


class SlowEntries:
    """Answers for entries when a test says so, as the daemons do."""

    def __init__(self):
        self.asked: asyncio.Queue = asyncio.Queue()
        self.given = 0

    async def send(self, method, url, content, wait_ms):
        answer = asyncio.get_running_loop().create_future()
        self.asked.put_nowait((url.partition("&session=")[2], answer))
        return await answer

    def answer(self, session, answer):
        """Keeps a session that the caller names, or gives a new one."""
        if not session:
            self.given += 1
            session = f"s{self.given}"
        entries = [{"url": "http://a"}]
        answer.set_result(
            (200, {"entries": entries, "session": session, "keep_ms": 0})
        )

    async def answer_all(self):
        while True:
            self.answer(*await self.asked.get())


class SlowCaller(client.Caller):
    __slots__ = ("fake",)

    async def _send(self, method, url, content, wait_ms):
        return await self.fake.send(method, url, content, wait_ms)


def test_a_renewed_session_is_never_replaced_by_the_one_before():
    # Found by the soak, seed 22: receipts for 138 requests that were counted
    # once under ids that the caller had used before.
    async def body():
        entries = SlowEntries()
        caller = SlowCaller(["http://a"], "key", "", random.Random(1))
        caller.fake = entries
        first = asyncio.create_task(caller.entries())
        entries.answer(*await entries.asked.get())
        await first
        used = {caller.next_id()}
        # This question still names the first session, and its answer is late.
        late = asyncio.create_task(caller.entries())
        late_question = await entries.asked.get()
        renewal = asyncio.create_task(caller.renew_session())
        question = await entries.asked.get()
        entries.answer(*late_question)
        await asyncio.sleep(0)
        answering = asyncio.create_task(entries.answer_all())
        await late
        ids = [caller.next_id()]
        entries.answer(*question)
        await renewal
        ids += [caller.next_id() for _ in range(3)]
        answering.cancel()
        assert not used & set(ids)
        assert len(ids) == len(set(ids))
        assert not any(one.startswith(".") for one in ids)

    asyncio.run(body())
