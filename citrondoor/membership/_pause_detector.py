"""Detects pauses of the process, after which its view may be outdated."""

from collections.abc import Callable


class PauseDetector:
    """Decides whether new work may be sent according to the local view.

    After the start and after each pause the view isn't trusted, until a peer
    or the platform has confirmed it or `confirm_timeout_ms` has elapsed.

    Args:
      pause_ms: A longer gap between two calls of `check_view` is a pause, in
        milliseconds.
      confirm_timeout_ms: Time after which the view is trusted without a
        confirmation, in milliseconds.
      listener: Called with the kind and detail of each change of state.
    """

    __slots__ = (
        "_checked_at",
        "_confirm_timeout_ms",
        "_is_confirmed",
        "_listener",
        "_pause_ms",
        "_resumed_at",
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
        self._checked_at: int | None = None
        self._resumed_at = 0
        self._is_confirmed = False

    def check_view(self, now: int) -> bool:
        """Returns whether the view may be trusted now.

        Must be called before each dispatch of new work, and more often than
        every `pause_ms`: a longer gap between two calls counts as a pause.

        Args:
          now: Clock reading, in milliseconds.
        """
        if self._checked_at is None:
            self._resumed_at = now
        elif now - self._checked_at > self._pause_ms:
            self._on_pause(now)
        self._checked_at = now
        if self._is_confirmed:
            return True
        if now - self._resumed_at > self._confirm_timeout_ms:
            self._is_confirmed = True
            self._listener(
                "view_unconfirmed", "no confirmation within the timeout"
            )
        return self._is_confirmed

    def confirm_view(self, requested_at: int, now: int) -> None:
        """Trusts the view again after a reply has shown that it is current.

        Args:
          requested_at: When the request was sent. The reply is ignored if
            that was before the last pause ended, since the view may have become
            outdated during the pause.
          now: Clock reading, in milliseconds.
        """
        if not self.check_view(now) and requested_at >= self._resumed_at:
            self._is_confirmed = True
            self._listener(
                "view_confirmed", f"after {now - self._resumed_at} ms"
            )

    def _on_pause(self, now: int) -> None:
        gap_ms = now - self._checked_at
        self._resumed_at = now
        self._is_confirmed = False
        self._listener("paused", f"for {gap_ms} ms")
