"""Turns of the connections that send wastefully.

Their reading waits while the budget of wasteful work is used up; all other
connections, timers and signals go on meanwhile.
"""

import asyncio
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import limits

# A discarded read costs a further piece for each of these bytes.
_DISCARDED_BYTES_PER_PIECE = 1024
# To stop reading a connection and to go on later costs this much.
_TURN_PIECES = 48


class ReadTurns:
    """The connections that wait for the budget, in their order.

    Args:
      clock: Clock of the daemon.

    Attributes:
      refused_count: Messages that were given up because they were wasteful.
    """

    __slots__ = ("_budget", "_clock", "_timer", "_waiting", "refused_count")

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._budget = limits.ReadBudget(clock.now())
        self._waiting: dict[Callable[[], None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.refused_count = 0

    @property
    def waiting_count(self) -> int:
        """Connections that are not read for now."""
        return len(self._waiting)

    @property
    def wasted_pieces(self) -> int:
        """All wasteful work so far."""
        return self._budget.wasted_pieces

    def spend(self, pieces: int) -> bool:
        """Records wasteful work; returns whether the connection may go on."""
        now = self._clock.now()
        self._budget.spend(pieces, now)
        return not self._budget.wait_ms(now)

    def spend_discarded(self, byte_count: int) -> bool:
        """Records a read that is discarded; returns like `spend`."""
        pieces = byte_count // _DISCARDED_BYTES_PER_PIECE
        return self.spend(limits.READ_PIECES + pieces)

    def wait(self, take_turn: Callable[[], None]) -> None:
        """Calls a function once, when its connection may go on."""
        self._budget.spend(_TURN_PIECES, self._clock.now())
        self._waiting[take_turn] = None
        self._set_timer()

    def leave(self, take_turn: Callable[[], None]) -> None:
        """Does not call a function that waits."""
        self._waiting.pop(take_turn, None)

    async def wait_for_turn(self) -> None:
        """Waits until a connection that a task reads may go on."""
        turn = asyncio.get_running_loop().create_future()

        def begin():
            if not turn.done():
                turn.set_result(None)

        self.wait(begin)
        try:
            await turn
        finally:
            self.leave(begin)

    def _set_timer(self) -> None:
        if self._timer is None:
            wait_ms = self._budget.wait_ms(self._clock.now())
            self._timer = asyncio.get_running_loop().call_later(
                wait_ms / clocks.MS_PER_S, self._go_on
            )

    def _go_on(self) -> None:
        self._timer = None
        try:
            if self._waiting and not self._budget.wait_ms(self._clock.now()):
                take_turn = next(iter(self._waiting))
                del self._waiting[take_turn]
                take_turn()
        finally:
            # Also after an error, which is of one connection.
            if self._waiting:
                self._set_timer()
