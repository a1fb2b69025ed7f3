"""How an entry host follows control."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from azurerelay.attachment._messages import (
    ControlHost,
    DirectoryMark,
    DirectoryUpdate,
    PrimarySuspicion,
    SyncReply,
    SyncRequest,
)
from azurerelay.events import ConfigurationInForce, ControlHostChosen, EventLog
from azurerelay.messages import Link
from azurerelay.routes import Configuration, apply_change
from azurerelay.timing import TimerService

# Three questions in the time that a change may take to be in force everywhere, so
# that a lost control host is left in time.
SYNC_INTERVAL_MS: Final = 500.0
# Callers wait for the first configuration: three round trips between regions.
FIRST_SYNC_INTERVAL_MS: Final = 75.0
REPLY_LIMIT_MS: Final = 900.0
# Before the first configuration callers wait: ten round trips between regions.
FIRST_REPLY_LIMIT_MS: Final = 250.0
FIRST_SEQUENCES: Final = 2**48
KEPT_QUESTIONS: Final = 32  # several seconds
# Older state than this means that the control host has lost the leader.
STALE_LIMIT_MS: Final = 1_500.0


class ControlFollower:
    """Follow one control host at a time; leave one that is silent or stale.

    Answers control hosts that die, or that are cut off from the others while this
    host still reaches them: their answers say how long they have not heard the
    leader.
    """

    def __init__(
        self,
        failure_domain: str,
        seeds: Iterable[str],
        link: Link,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
    ) -> None:
        self._failure_domain = failure_domain
        self._hosts = [ControlHost(seed, "") for seed in seeds]
        self._link = link
        self._timers = timers
        self._random = random_source
        self._events = events
        self._followed: str | None = None
        self._tried: set[str] = set()
        self._asked_ms: float | None = None
        self._replied_ms = float("-inf")
        # Not those of an earlier process: its answers may still be on their way.
        self._sequence = random_source.randrange(FIRST_SEQUENCES)
        self._sent: deque[tuple[int, float]] = deque(maxlen=KEPT_QUESTIONS)
        self._directory = DirectoryMark(0, 0)
        self._configuration: Configuration | None = None
        self._entry_hosts = 1
        self._is_draining = False
        self._suspicions: Callable[[], tuple[PrimarySuspicion, ...]] = tuple
        self._on_change: Callable[[DirectoryUpdate | None], object] = lambda _: None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force here."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force here; -1 before the first."""
        return self._configuration.version if self._configuration else -1

    @property
    def entry_hosts(self) -> int:
        """How many entry hosts there are, as control counts them."""
        return self._entry_hosts

    @property
    def age_ms(self) -> float:
        """How long ago control was last heard."""
        return self._timers.now_ms() - self._replied_ms

    @property
    def followed(self) -> str | None:
        """The control host that is followed."""
        return self._followed

    def asked_ms(self, sequence: int) -> float | None:
        """Return when a question was sent; None if it is not known any more."""
        return next((at_ms for sent, at_ms in self._sent if sent == sequence), None)

    def start(
        self,
        suspicions: Callable[[], tuple[PrimarySuspicion, ...]],
        on_change: Callable[[DirectoryUpdate | None], object],
    ) -> None:
        """Begin to ask; call back after each change."""
        self._suspicions = suspicions
        self._on_change = on_change
        self._tick()

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Add control hosts that the settings name."""
        known = {host.address for host in self._hosts}
        self._hosts += [ControlHost(s, "") for s in seeds if s not in known]

    def set_draining(self) -> None:
        """Tell control that this host leaves."""
        self._is_draining = True
        self._ask()

    def ask_now(self) -> None:
        """Send what is news, such as a suspicion, at once."""
        self._ask()

    def on_reply(self, sender: str, reply: SyncReply) -> None:
        """Take an answer, or a push at a change."""
        address = sender.partition("#")[0]
        now_ms = self._timers.now_ms()
        if address == self._followed:
            self._asked_ms = None
            self._replied_ms = now_ms
            if reply.leader_silence_ms > STALE_LIMIT_MS:
                self._leave("it has not heard the leader for too long")
                if self._tried:
                    # Not all have been asked in this round: the next one at once.
                    self._ask()
            else:
                self._tried.clear()
        if reply.control_hosts:
            self._hosts = list(reply.control_hosts)
        self._entry_hosts = max(1, reply.entry_hosts)
        self._apply(address, reply)

    def _apply(self, address: str, reply: SyncReply) -> None:
        change = reply.configuration
        has_changed = False
        if change is not None and change.version > self.version:
            changed = apply_change(self._configuration, change)
            if changed is None:
                # A push was lost; the answer to this starts from what is here.
                self._ask()
            else:
                self._configuration = changed
                has_changed = True
                self._events.record(
                    ConfigurationInForce(changed.version, len(changed.routes), address)
                )
        if reply.directory is not None:
            self._directory = reply.directory.mark
        if has_changed or reply.directory is not None:
            self._on_change(reply.directory)

    def _tick(self) -> None:
        interval_ms, limit_ms = SYNC_INTERVAL_MS, REPLY_LIMIT_MS
        if self._configuration is None:
            interval_ms, limit_ms = FIRST_SYNC_INTERVAL_MS, FIRST_REPLY_LIMIT_MS
        self._timers.call_later(interval_ms, self._tick)
        now_ms = self._timers.now_ms()
        if self._asked_ms is not None and now_ms - self._asked_ms > limit_ms:
            self._leave("it did not answer")
        self._ask()

    def _ask(self) -> None:
        if self._followed is None:
            self._followed = self._choose()
            if self._followed is None:
                return
        self._sequence += 1
        self._sent.append((self._sequence, self._timers.now_ms()))
        if self._asked_ms is None:
            self._asked_ms = self._timers.now_ms()
        self._link.send(
            self._followed,
            SyncRequest(
                self._sequence,
                self._failure_domain,
                self.version,
                self._directory,
                self._is_draining,
                self._suspicions(),
            ),
        )

    def _leave(self, reason: str) -> None:
        if self._followed is not None:
            self._tried.add(self._followed)
        self._asked_ms = None
        self._followed = self._choose()
        if self._followed is not None:
            self._events.record(ControlHostChosen(self._followed, reason))

    def _choose(self) -> str | None:
        """Return a control host of the same failure domain, or any, not yet tried."""
        if not self._hosts:
            return None
        left = [host for host in self._hosts if host.address not in self._tried]
        if not left:
            self._tried.clear()
            left = self._hosts
        near = [host for host in left if host.failure_domain == self._failure_domain]
        return self._random.choice(near or left).address
