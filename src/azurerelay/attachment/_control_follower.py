"""The entry host's side of the synchronization with control hosts."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from result import Err

from azurerelay.attachment._configuration_freshness import ConfigurationFreshness
from azurerelay.attachment._messages import (
    ControlHost,
    Detach,
    DirectoryMark,
    DirectoryUpdate,
    PrimarySuspicion,
    SyncReply,
    SyncRequest,
)
from azurerelay.attachment._packed_update import unpack_update
from azurerelay.events import (
    ConfigurationInForce,
    ControlHostChosen,
    ControlReplyRefused,
    EventLog,
)
from azurerelay.messages import Link
from azurerelay.routes import Configuration, apply_change
from azurerelay.timing import TimerService

# Three requests fit into the time within which a change must be in force on all hosts,
# so that a lost control host is replaced in time.
SYNC_INTERVAL_MS: Final = 500.0
# Three round trips between regions. Shorter than the regular interval, because callers
# wait for the first configuration.
FIRST_SYNC_INTERVAL_MS: Final = 75.0
REPLY_TIMEOUT_MS: Final = 900.0
# Ten round trips between regions; applies until there is a first configuration.
FIRST_REPLY_TIMEOUT_MS: Final = 250.0
NO_DIRECTORY: Final = DirectoryMark(0, 0)
INITIAL_SEQUENCE_SPACE: Final = 2**48
MAX_REMEMBERED_REQUESTS: Final = 32  # the requests of several seconds
# A control host that may lack changes of this long is left. A leader hears from the
# majority at least that often.
STATE_AGE_LIMIT_MS: Final = 1_500.0
# While a nearer control host is known, it is tried at random intervals of this mean, so
# that the hosts of a failure domain do not all return to it together.
NEARER_HOST_INTERVAL_MS: Final = 4_000.0


class ControlFollower:
    """Keeps this host attached to one control host and applies its replies.

    Switches to another control host if the current one does not answer, or if it may
    lack changes, as when it is cut off from the leader while this host can still reach
    it: each reply states how old the control host's state may be. The failure domains
    of the seeds are not known, so a host may start with a distant one; it moves to a
    nearer one once that has answered, because traffic between regions is expensive.

    `round_trip_ms` returns the expected round-trip time to a failure domain.
    """

    def __init__(
        self,
        failure_domain: str,
        round_trip_ms: Callable[[str], float],
        seeds: Iterable[str],
        link: Link,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
    ) -> None:
        self._failure_domain = failure_domain
        self._round_trip_ms = round_trip_ms
        self._control_hosts = [ControlHost(seed, "") for seed in seeds]
        self._link = link
        self._timers = timers
        self._random = random_source
        self._events = events
        self._current_control_host: str | None = None
        self._tried_addresses: set[str] = set()
        self._nearer_host: str | None = None
        self._try_nearer_at_ms = float("-inf")
        self._unanswered_since_ms: float | None = None
        self._replied_ms = float("-inf")
        # Random, because replies to an earlier process of this host may still arrive.
        self._sequence = random_source.randrange(INITIAL_SEQUENCE_SPACE)
        self._sent_requests: deque[tuple[int, float]] = deque(
            maxlen=MAX_REMEMBERED_REQUESTS
        )
        self._directory_mark = NO_DIRECTORY
        self._configuration: Configuration | None = None
        self._freshness = ConfigurationFreshness(timers, events)
        self._entry_hosts = 1
        self._is_draining = False
        self._has_missed_update = False
        self._suspicions: Callable[[], tuple[PrimarySuspicion, ...]] = tuple
        self._on_change: Callable[[DirectoryUpdate | None], object] = lambda _: None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force on this host."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force on this host; -1 before the first configuration."""
        return self._configuration.version if self._configuration else -1

    @property
    def freshness(self) -> ConfigurationFreshness:
        """How long ago the configuration in force was known to be the newest."""
        return self._freshness

    @property
    def entry_hosts(self) -> int:
        """The number of entry hosts, as counted by the control hosts; at least 1."""
        return self._entry_hosts

    @property
    def control_silence_ms(self) -> float:
        """The time since the last reply of the control host in use; infinite at first.

        After a switch, that of the previous one counts until the new one replies.
        """
        return self._timers.now_ms() - self._replied_ms

    @property
    def current_control_host(self) -> str | None:
        """The address of the control host that this host is attached to, if any."""
        return self._current_control_host

    def request_sent_ms(self, sequence: int) -> float | None:
        """Return when a request was sent; None if it is too old or unknown."""
        return next(
            (at_ms for sent, at_ms in self._sent_requests if sent == sequence), None
        )

    def _reply_delay_ms(self, reply: SyncReply) -> float:
        """Return the time since the request of a reply; -1 if that is unknown."""
        sent_ms = self.request_sent_ms(reply.sequence)
        return -1.0 if sent_ms is None else self._timers.now_ms() - sent_ms

    def start(
        self,
        suspicions: Callable[[], tuple[PrimarySuspicion, ...]],
        on_change: Callable[[DirectoryUpdate | None], object],
    ) -> None:
        """Start to send requests.

        `on_change` is called after each change of the configuration or the directory,
        with the directory update, if any.
        """
        self._suspicions = suspicions
        self._on_change = on_change
        self._tick()

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Add seeds that are not among the known control hosts."""
        known = {host.address for host in self._control_hosts}
        self._control_hosts += [ControlHost(s, "") for s in seeds if s not in known]

    def set_draining(self) -> None:
        """Report to the control host that this host is draining."""
        self._is_draining = True
        self._send_request()

    def sync_now(self) -> None:
        """Send a request at once, to report a change such as a new suspicion."""
        self._send_request()

    def on_reply(self, sender: str, reply: SyncReply) -> None:
        """Process a reply to a request, or one that was pushed after a change."""
        address = sender.partition("#")[0]
        now_ms = self._timers.now_ms()
        if address == self._current_control_host:
            self._unanswered_since_ms = None
            self._replied_ms = now_ms
            if reply.leader_silence_ms > STATE_AGE_LIMIT_MS:
                self._switch_control_host("the previous one may lack changes")
                if self._tried_addresses:
                    # Some control hosts have not been tried yet: ask the next at once.
                    self._send_request()
            else:
                self._tried_addresses.clear()
        elif address == self._nearer_host:
            self._nearer_host = None
            if reply.leader_silence_ms <= STATE_AGE_LIMIT_MS:
                self._move_to_nearer_host(address)
        if reply.control_hosts:
            self._control_hosts = list(reply.control_hosts)
        self._entry_hosts = max(1, reply.entry_hosts)
        self._apply_reply(address, reply)
        sent_ms = self.request_sent_ms(reply.sequence)
        self._freshness.record_reply(reply, sent_ms, self.version)
        self._record_freshness()

    def _record_freshness(self) -> None:
        if self._configuration is not None:
            self._freshness.record_changes(self.version, self._current_control_host)

    def _apply_reply(self, address: str, reply: SyncReply) -> None:
        change, directory = reply.configuration, reply.directory
        has_changed = False
        if reply.packed_update is not None:
            unpacked = unpack_update(reply.packed_update)
            if isinstance(unpacked, Err):
                # The next regular request asks again: at once, a build that does not
                # fit would be asked without end.
                self._has_missed_update = True
                reason = unpacked.err_value.reason
                self._events.record(ControlReplyRefused(address, reason))
                return
            change = unpacked.ok_value.configuration
            directory = unpacked.ok_value.directory
        if change is not None and change.version > self.version:
            changed = apply_change(self._configuration, change)
            if changed is None:
                self._request_missed_update()
            else:
                self._configuration = changed
                has_changed = True
                self._events.record(
                    ConfigurationInForce(
                        changed.version,
                        len(changed.routes),
                        address,
                        self._reply_delay_ms(reply),
                    )
                )
        is_first = self._directory_mark == NO_DIRECTORY
        if address != self._current_control_host and not is_first:
            # A control host that this host has left may not know the newest endpoints.
            directory = None
        if directory is not None and not self._follows(directory):
            if self._is_ahead_of_this_host(directory):
                self._request_missed_update()
            directory = None
        if directory is not None:
            self._directory_mark = directory.mark
        if has_changed or directory is not None:
            self._on_change(directory)

    def _follows(self, update: DirectoryUpdate) -> bool:
        """Return whether a directory update can be applied to what this host has."""
        if update.base_revision is None:
            return True
        known = self._directory_mark
        is_same_process = known.incarnation == update.mark.incarnation
        return is_same_process and (
            update.base_revision <= known.revision < update.mark.revision
        )

    def _is_ahead_of_this_host(self, update: DirectoryUpdate) -> bool:
        """Return whether an update that this host cannot apply brings newer changes."""
        known = self._directory_mark
        is_same_process = known.incarnation == update.mark.incarnation
        return not is_same_process or known.revision < update.mark.revision

    def _request_missed_update(self) -> None:
        """Report that an earlier reply was lost.

        The answer starts from what this host has.
        """
        self._has_missed_update = True
        self._send_request()

    def _tick(self) -> None:
        interval_ms, timeout_ms = SYNC_INTERVAL_MS, REPLY_TIMEOUT_MS
        if self._configuration is None:
            interval_ms, timeout_ms = FIRST_SYNC_INTERVAL_MS, FIRST_REPLY_TIMEOUT_MS
        self._timers.call_later(interval_ms, self._tick)
        now_ms = self._timers.now_ms()
        if (
            self._unanswered_since_ms is not None
            and now_ms - self._unanswered_since_ms > timeout_ms
        ):
            self._switch_control_host("the previous one did not answer in time")
        self._record_freshness()
        self._send_request()
        if self._configuration is not None and now_ms >= self._try_nearer_at_ms:
            self._try_nearer_host()

    def _send_request(self) -> None:
        if self._current_control_host is None:
            self._current_control_host = self._choose_control_host()
            if self._current_control_host is None:
                return
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self._timers.now_ms()
        self._send_request_to(self._current_control_host)

    def _send_request_to(self, address: str) -> None:
        self._sequence += 1
        self._sent_requests.append((self._sequence, self._timers.now_ms()))
        self._link.send(
            address,
            SyncRequest(
                self._sequence,
                self._failure_domain,
                self.version,
                self._directory_mark,
                self._is_draining,
                self._suspicions(),
                accepts_compact_replies=True,
                has_missed_update=self._has_missed_update,
            ),
        )
        self._has_missed_update = False

    def _try_nearer_host(self) -> None:
        """Send a request to a control host that is nearer than the current one.

        The current one stays in use until the nearer one has answered.
        """
        interval_ms = self._random.uniform(0.5, 1.5) * NEARER_HOST_INTERVAL_MS
        is_first = self._try_nearer_at_ms == float("-inf")
        self._try_nearer_at_ms = self._timers.now_ms() + interval_ms
        current_ms = self._distance_ms(self._current_control_host)
        nearer = [h for h in self._control_hosts if self._host_ms(h) < current_ms]
        if is_first or not nearer:
            return
        self._nearer_host = self._nearest(nearer)
        self._send_request_to(self._nearer_host)

    def _move_to_nearer_host(self, address: str) -> None:
        if self._current_control_host is not None:
            self._link.send(self._current_control_host, Detach())
        self._current_control_host = address
        self._tried_addresses.clear()
        self._unanswered_since_ms = None
        self._replied_ms = self._timers.now_ms()
        self._events.record(ControlHostChosen(address, "it is nearer"))

    def _distance_ms(self, address: str | None) -> float:
        """Return the expected round trip to a control host; infinite if unknown."""
        distances = [
            self._host_ms(h) for h in self._control_hosts if h.address == address
        ]
        return min(distances, default=float("inf"))

    def _host_ms(self, host: ControlHost) -> float:
        return self._round_trip_ms(host.failure_domain)

    def _nearest(self, hosts: Iterable[ControlHost]) -> str:
        """Return the address of one of the nearest hosts, drawn at random."""
        candidates = list(hosts)
        best_ms = min(self._host_ms(host) for host in candidates)
        return self._random.choice(
            [host for host in candidates if self._host_ms(host) == best_ms]
        ).address

    def _switch_control_host(self, reason: str) -> None:
        if self._current_control_host is not None:
            self._tried_addresses.add(self._current_control_host)
        self._unanswered_since_ms = None
        self._current_control_host = self._choose_control_host()
        if self._current_control_host is not None:
            self._events.record(ControlHostChosen(self._current_control_host, reason))

    def _choose_control_host(self) -> str | None:
        """Return one of the nearest untried control hosts, or None if none is known.

        Once all have been tried, all are eligible again.
        """
        if not self._control_hosts:
            return None
        untried = [
            host
            for host in self._control_hosts
            if host.address not in self._tried_addresses
        ]
        if not untried:
            self._tried_addresses.clear()
            untried = self._control_hosts
        return self._nearest(untried)
