"""Bounds the memory that messages keep, over all who send to a daemon.

Handles senders in trouble that send without end, many connections that each
hold a little, and queues towards a side that does not read: each may be within
its own limit while all of them together exceed the VM's memory.
"""

import sys
from collections.abc import Callable

from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

# Part of the VM's memory for what messages keep. The rest is for the daemon
# itself and for what the allocator keeps of freed memory.
KEPT_SHARE = 0.4
# Part of the VM's memory for the view: routes and searchers.
VIEW_SHARE = 0.2
# Parts of the limit. Above the first, the largest messages without an end in
# sight give way; above the second, new requests are refused. At the limit, the
# largest message that is not complete gives way.
ENDLESS_SHARE = 0.5
SHORT_SHARE = 0.75
BYTES_PER_MB = 1_000_000


def kept_limit_bytes(
    settings: serving.EntrySettings | schema_settings.DaemonSettings,
) -> int:
    """Returns the limit on what messages keep, in bytes."""
    kept_mb = settings.kept_mb or settings.memory_mb * KEPT_SHARE
    return int(kept_mb * BYTES_PER_MB)


def view_limit_bytes(settings: serving.EntrySettings) -> int:
    """Returns the limit on what routes and searchers keep, in bytes."""
    return int(settings.memory_mb * VIEW_SHARE * BYTES_PER_MB)


class Holder:
    """The messages of one connection, or of one queue, in a `MemoryAccount`.

    Args:
      account: The account.
      sender: Who sends the messages.
      give_way: Called when the messages have to be dropped; the holder is no
        longer in the account then.

    Attributes:
      give_way: As above.
      is_complete: Whether the messages are complete and in use, so that they
        are never dropped.
      is_endless: Whether a message has no end in sight.
      kept_bytes: Estimate of the memory that the messages keep.
      sender: As above.
    """

    __slots__ = (
        "_account",
        "give_way",
        "is_complete",
        "is_endless",
        "kept_bytes",
        "sender",
    )

    def __init__(
        self,
        account: "MemoryAccount",
        sender: serving.Sender,
        give_way: Callable[[], None],
    ):
        self._account = account
        self.sender = sender
        self.give_way = give_way
        self.is_complete = False
        self.is_endless = False
        self.kept_bytes = 0

    def record(
        self,
        kept_bytes: int,
        is_endless: bool = False,
        is_complete: bool = False,
    ) -> None:
        """Records what is kept now; the account may make any holder give way.

        Args:
          kept_bytes: Estimate of the memory kept, all objects included; 0
            removes the holder from the account.
          is_endless: Whether a message has no end in sight: its length is not
            declared, or it has more framing than body.
          is_complete: Whether the messages are complete and in use.
        """
        self._account.apply_record(self, kept_bytes, is_endless, is_complete)

    def release(self) -> None:
        """Removes the holder from the account."""
        self.record(0)

    def close(self) -> None:
        """Removes the holder from the account for good.

        `give_way` refers to the owner, and the owner to this holder: neither
        would be freed before a garbage collection.
        """
        self.release()
        self.give_way = _keep


class MemoryAccount:
    """Adds up what all messages keep, and chooses what gives way.

    Args:
      max_bytes: Limit on what all messages keep; without one, they are only
        added up.
    """

    __slots__ = (
        "_endless",
        "_holders",
        "_is_making_room",
        "_kept_by_sender",
        "_max_bytes",
        "gave_way_counts",
        "peak_bytes",
    )

    def __init__(self, max_bytes: int = sys.maxsize):
        self._max_bytes = max_bytes
        self._holders: set[Holder] = set()
        # Holders that are endless and not complete.
        self._endless: set[Holder] = set()
        self._is_making_room = False
        self._kept_by_sender = dict.fromkeys(serving.Sender, 0)
        self.gave_way_counts = dict.fromkeys(serving.Sender, 0)
        self.peak_bytes = 0

    @property
    def max_bytes(self) -> int:
        """Limit on what all messages keep."""
        return self._max_bytes

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory that all messages keep now."""
        return sum(self._kept_by_sender.values())

    @property
    def is_short(self) -> bool:
        """Whether new requests must be refused."""
        return self.kept_bytes > self._max_bytes * SHORT_SHARE

    def kept_bytes_of(self, sender: serving.Sender) -> int:
        """Returns what the messages of one kind of sender keep, in bytes."""
        return self._kept_by_sender[sender]

    def open(
        self, sender: serving.Sender, give_way: Callable[[], None]
    ) -> Holder:
        """Returns a holder for the messages of a connection or a queue."""
        return Holder(self, sender, give_way)

    def apply_record(
        self,
        holder: Holder,
        kept_bytes: int,
        is_endless: bool,
        is_complete: bool,
    ) -> None:
        """Applies a record of a holder, then makes holders give way."""
        self._set(holder, kept_bytes, is_endless, is_complete)
        self.peak_bytes = max(self.peak_bytes, self.kept_bytes)
        if self._is_making_room:
            # `give_way` may record what is left; the loop that called it goes
            # on with the new total.
            return
        self._is_making_room = True
        try:
            while (victim := self._choose_victim()) is not None:
                self._set(victim, 0, False, False)
                self.gave_way_counts[victim.sender] += 1
                victim.give_way()
        finally:
            self._is_making_room = False

    def _set(
        self,
        holder: Holder,
        kept_bytes: int,
        is_endless: bool,
        is_complete: bool,
    ) -> None:
        self._kept_by_sender[holder.sender] += kept_bytes - holder.kept_bytes
        holder.kept_bytes = kept_bytes
        holder.is_endless = is_endless
        holder.is_complete = is_complete
        if kept_bytes:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        if kept_bytes and is_endless and not is_complete:
            self._endless.add(holder)
        else:
            self._endless.discard(holder)

    def _choose_victim(self) -> Holder | None:
        """Returns the holder that has to give way, if any."""
        kept_bytes = self.kept_bytes
        if kept_bytes <= self._max_bytes * ENDLESS_SHARE:
            return None
        if self._endless:
            return max(self._endless, key=_size)
        if kept_bytes <= self._max_bytes:
            return None
        return max(
            (h for h in self._holders if not h.is_complete),
            key=_size,
            default=None,
        )


def _size(holder: Holder) -> int:
    return holder.kept_bytes


def _keep() -> None:
    """Is `give_way` of a closed holder, which keeps nothing."""
