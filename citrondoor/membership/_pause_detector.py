"""Notices that the process was paused and distrusts its view after that."""

from collections.abc import Callable


class PauseDetector:
    """Tells whether new work may be sent on this daemon's view.

    Args:
      pause_ms: A gap between two readings longer than this is a pause.
      confirm_timeout_ms: Bounded wait for a confirmation.
      listener: Called with the kind and detail of each change of state.
    """

    __slots__ = (
        "_confirm_timeout_ms",
        "_is_confirmed",
        "_listener",
        "_pause_ms",
        "_seen_at",
        "_woke_at",
    )

    def __init__(
        self,
        pause_ms: int,
        confirm_timeout_ms: int,
        listener: Callable[[str, str], None],
    ):
        self._pause_ms = pause_ms
        self._confirm_timeout_ms = confirm_timeout_ms
        self._listener = listener
        self._seen_at: int | None = None
        self._woke_at = 0
        self._is_confirmed = False

    def check_view(self, now: int) -> bool:
        """Returns whether the view may be trusted now.

        Call it before each dispatch of new work, and regularly in between.
        """
        if self._seen_at is None:
            self._woke_at = now
        elif now - self._seen_at > self._pause_ms:
            self._on_pause(now)
        self._seen_at = now
        if self._is_confirmed:
            return True
        if now - self._woke_at > self._confirm_timeout_ms:
            self._is_confirmed = True
            self._listener("view_unconfirmed", "the bounded wait has run out")
        return self._is_confirmed

    def confirm_view(self, asked_at: int, now: int) -> None:
        """Notes that the view was current at or after `asked_at`."""
        if not self.check_view(now) and asked_at >= self._woke_at:
            self._is_confirmed = True
            self._listener("view_confirmed", f"after {now - self._woke_at} ms")

    def _on_pause(self, now: int) -> None:
        gap = now - self._seen_at
        self._woke_at = now
        self._is_confirmed = False
        self._listener("paused", f"for {gap} ms")
