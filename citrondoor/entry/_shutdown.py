"""Decides what a daemon that shuts down still accepts, and until when it waits.

Handles requests to a daemon that ends within seconds: callers use its address
for as long as they keep the directory's answer, and searchers may be slow or
requests long. A request that has no answer when the process ends is lost.
"""


class Shutdown:
    """The end of a daemon's answers, once its shutdown has begun."""

    __slots__ = ("_answers_until",)

    def __init__(self):
        self._answers_until: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the daemon shuts down."""
        return self._answers_until is not None

    def begin(self, answers_until: int) -> None:
        """Begins the shutdown.

        Args:
          answers_until: Clock reading, in ms, at which every request that was
            accepted gets an answer, whatever its state.
        """
        self._answers_until = answers_until

    def limit(self, at: int) -> int:
        """Returns a clock reading, or the end of all answers if it is less."""
        return (
            at if self._answers_until is None else min(at, self._answers_until)
        )

    def missing_ms(
        self,
        is_idempotent: bool,
        longest_ms: int,
        slow_ms: float | None,
        now: int,
    ) -> int:
        """Returns how much time a request lacks to be accepted, in ms.

        It is 0 for a request that is accepted. One that must not be repeated is
        accepted only if it is certain to end in time: if it were cut off, its
        caller could not know whether it has run. Others are accepted if most
        requests like them end in time.

        Args:
          is_idempotent: Whether the request may run more than once.
          longest_ms: Time after which the request ends in any case.
          slow_ms: Time within which nearly all requests on its route end; None
            if unknown.
          now: Clock reading.
        """
        if self._answers_until is None:
            return 0
        needed_ms = longest_ms
        if is_idempotent and slow_ms is not None:
            needed_ms = min(needed_ms, slow_ms)
        return max(0, int(needed_ms) - (self._answers_until - now))
