"""A budget of bytes that the connections of a process share."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, Protocol

from azurerelay.timing import TimerService

# Between two reviews while a connection waits for bytes. A connection without progress
# for this long is closed in favour of those that wait; a packet that is lost once is
# sent again within it.
REVIEW_INTERVAL_MS: Final = 1_000.0
# After this many reviews without a connection that stands still, the one with the least
# progress is closed: otherwise clients that send a byte at a time could keep all bytes.
MAX_FRUITLESS_REVIEWS: Final = 5


class ByteHolder(Protocol):
    """The owner of an account, usually a connection."""

    def measure_bytes(self) -> int:
        """Bring the account up to date; return how many bytes closing would free.

        Work in progress counts as progress of the connection.
        """

    def on_bytes_granted(self) -> None:
        """Go on: what the account was waiting for is reserved now."""

    def close_for_bytes(self) -> None:
        """Close the connection, since others wait for its bytes.

        The account must hold no more than what cannot be freed now.
        """


class ByteAccount:
    """What one connection holds of a budget."""

    __slots__ = ("_budget", "_holder", "held", "moved", "wanted")

    def __init__(self, budget: "ByteBudget", holder: ByteHolder) -> None:
        self._budget = budget
        self._holder: ByteHolder | None = holder
        self.held = 0  # bytes; changed by the budget only
        self.wanted = 0  # bytes that it waits to hold; 0 if it does not wait
        self.moved = 0  # bytes read and written since the last review

    @property
    def holder(self) -> ByteHolder | None:
        """The owner of the account; None once it is closed."""
        return self._holder

    @property
    def is_limited(self) -> bool:
        """Whether the process has a limit at all."""
        return self._budget.is_limited

    def reserve(self, total: int) -> bool:
        """Hold `total` bytes from now on, if they fit; otherwise wait for them.

        While it waits, the account holds what it held, or less if `total` is less.
        """
        return self._budget.reserve(self, total)

    def try_reserve(self, total: int, spare: int = 0) -> bool:
        """Hold `total` bytes from now on, if they fit; never wait for them.

        More than now are held only if `spare` bytes stay free.
        """
        return self._budget.try_reserve(self, total, spare)

    def charge(self, total: int) -> None:
        """Hold `total` bytes, which exist already, whether they fit or not."""
        self._budget.charge(self, total)

    def shrink(self, total: int) -> None:
        """Hold only `total` bytes, and wait for no more."""
        self._budget.shrink(self, total)

    def close(self, total: int = 0) -> None:
        """Give all bytes back but `total`, which a statement in progress takes.

        The holder is not called any more, nor kept from being freed.
        """
        self._holder = None
        self._budget.shrink(self, total)


class ByteBudget:
    """Grant bytes to connections in the order in which they ask for them.

    Load that this answers: clients that together send, or do not read, more than the
    memory of the process. A connection that does not get its bytes stops reading. Bytes
    return when statements end and answers are read. If they do not, since all that hold
    some stand still, a review closes those that hold the most.

    Without a capacity, everything is granted, and no timers are needed.
    """

    def __init__(self, capacity: int | None, timers: TimerService | None) -> None:
        assert capacity is None or timers is not None
        self._capacity = capacity
        self._timers = timers
        self._held = 0
        self._holders: dict[ByteAccount, None] = {}
        self._waiting: OrderedDict[ByteAccount, None] = OrderedDict()
        self._missing = 0  # bytes that the waiting accounts want and do not hold
        self._closed_count = 0
        self._wait_count = 0
        self._has_review = False
        self._has_relief = False
        self._fruitless_reviews = 0
        self._defers_grants = False

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self._capacity is not None

    @property
    def held(self) -> int:
        """Bytes that all accounts hold."""
        return self._held

    @property
    def waiting_count(self) -> int:
        """Number of accounts that wait for bytes."""
        return len(self._waiting)

    @property
    def wait_count(self) -> int:
        """How often an account had to wait, since the start."""
        return self._wait_count

    @property
    def closed_count(self) -> int:
        """How many connections were closed for their bytes, since the start."""
        return self._closed_count

    @property
    def _free(self) -> int:
        return (self._capacity or 0) - self._held

    @property
    def _first(self) -> ByteAccount | None:
        return next(iter(self._waiting), None)

    def open_account(self, holder: ByteHolder) -> ByteAccount:
        """Return an account that holds nothing."""
        return ByteAccount(self, holder)

    def reserve(self, account: ByteAccount, total: int) -> bool:
        """Hold `total` bytes if they fit, otherwise put the account in the queue."""
        if self._capacity is None:
            return True
        is_next = self._first in (None, account)
        if total <= account.held or (is_next and self._fits(account, total)):
            self._stop_waiting(account)
            self.charge(account, total)
            return True
        if account.wanted <= self._capacity < total:
            self._call_later(0.0, lambda: self._close_if_too_large(account))
        if not account.wanted:
            self._waiting[account] = None
            self._wait_count += 1
            self._schedule_review()
        self._set(account, account.held, total)
        return False

    def try_reserve(self, account: ByteAccount, total: int, spare: int) -> bool:
        """Hold `total` bytes if they and `spare` fit now and no other account waits.

        The account does not wait, neither before nor after.
        """
        if self._capacity is None:
            return True
        self._stop_waiting(account)
        fits = not self._waiting and self._fits(account, total + spare)
        if total > account.held and not fits:
            return False
        self.charge(account, total)
        return True

    def charge(self, account: ByteAccount, total: int) -> None:
        """Hold `total` bytes; relieve the budget soon if that is too much."""
        if self._capacity is None:
            return
        is_more = total > account.held
        self._set(account, total, account.wanted)
        if self._held <= self._capacity:
            self._grant()
        elif is_more and not self._has_relief:
            self._has_relief = True
            self._call_later(0.0, self._relieve)

    def shrink(self, account: ByteAccount, total: int) -> None:
        """Let an account wait no longer, and hold `total` bytes."""
        self._stop_waiting(account)
        self.charge(account, total)

    def _stop_waiting(self, account: ByteAccount) -> None:
        if account.wanted:
            del self._waiting[account]
            self._set(account, account.held, 0)

    def _set(self, account: ByteAccount, held: int, wanted: int) -> None:
        self._missing -= max(0, account.wanted - account.held)
        self._missing += max(0, wanted - held)
        self._held += held - account.held
        account.held, account.wanted = held, wanted
        if held:
            self._holders[account] = None
        else:
            self._holders.pop(account, None)

    def _fits(self, account: ByteAccount, total: int) -> bool:
        assert self._capacity is not None
        return self._held - account.held + total <= self._capacity

    def _grant(self) -> None:
        """Grant what fits, in the order of the queue."""
        if self._defers_grants:
            return
        with self._deferred_grants():
            while (first := self._first) and self._fits(first, first.wanted):
                del self._waiting[first]
                self._set(first, first.wanted, 0)
                if first.holder is not None:
                    first.holder.on_bytes_granted()

    @contextmanager
    def _deferred_grants(self) -> Iterator[None]:
        self._defers_grants = True
        try:
            yield
        finally:
            self._defers_grants = False

    def _relieve(self) -> None:
        """Close connections until the budget is not exceeded.

        What is charged meanwhile, as connections bring their accounts up to date,
        schedules no further run.
        """
        assert self._capacity is not None
        try:
            if self._held > self._capacity:
                with self._deferred_grants():
                    self._close_worst(self._capacity)
        finally:
            self._has_relief = False
        self._grant()

    def _close_worst(self, capacity: int) -> None:
        for account in self._worst_first():
            if self._held <= capacity:
                return
            self._close(account)

    def _schedule_review(self) -> None:
        if not self._has_review:
            self._has_review = True
            self._call_later(REVIEW_INTERVAL_MS, self._review)

    def _call_later(self, delay_ms: float, callback: Callable[[], object]) -> None:
        assert self._timers is not None
        self._timers.call_later(delay_ms, callback)

    def _review(self) -> None:
        """Close connections that stand still while others wait for their bytes."""
        self._has_review = False
        try:
            with self._deferred_grants():
                self._close_standing()
            self._grant()
        finally:
            if self._waiting:
                self._schedule_review()

    def _close_standing(self) -> None:
        """Close what stands still; those that wait for bytes cannot move any."""
        closed_count = self._closed_count
        for account in self._worst_first():
            if account.wanted:
                continue
            if account.moved or self._free >= self._missing:
                break
            self._close(account)
        self._fruitless_reviews += 1
        if not self._waiting or closed_count != self._closed_count:
            self._fruitless_reviews = 0
        elif self._fruitless_reviews >= MAX_FRUITLESS_REVIEWS:
            self._fruitless_reviews = 0
            by_fault = sorted(self._worst_first(), key=lambda a: a.wanted > 0)
            for account in by_fault[:1]:
                self._close(account)
        for account in self._holders:
            account.moved = 0

    def _worst_first(self) -> list[ByteAccount]:
        """Return the holders: the least progress first, then the most bytes.

        Those that are left out would free nothing if they were closed.
        """
        ranked = []
        for account in list(self._holders):
            holder = account.holder
            freed = holder.measure_bytes() if holder is not None else 0
            if freed > 0:
                ranked.append((account.moved, -freed, account))
        return [account for *_, account in sorted(ranked, key=lambda rank: rank[:2])]

    def _close_if_too_large(self, account: ByteAccount) -> None:
        """Close a connection if no capacity would be enough for what it waits for."""
        if self._capacity is not None and account.wanted > self._capacity:
            self._close(account)

    def _close(self, account: ByteAccount) -> None:
        if account.holder is not None:
            self._closed_count += 1
            account.holder.close_for_bytes()
