"""How long ago an entry host's configuration is known to have been the newest."""

from typing import Final

from azurerelay.attachment._messages import SyncReply
from azurerelay.events import (
    ConfigurationConfirmed,
    ConfigurationUnconfirmed,
    EventLog,
)
from azurerelay.timing import TimerService

# Longer than a host that loses its control host needs to be confirmed by another one:
# a reply time-out, two regular requests and their round trips. Shorter than the time
# within which a change must be in force on all hosts.
CONFIRMATION_LIMIT_MS: Final = 2_000.0


class ConfigurationFreshness:
    """Tell whether the configuration in force on this host is known to be recent.

    A reply confirms the configuration as of the time at which its request was sent,
    less the age of the control host's state, if it states no newer version than the
    one in force. The arrival of a reply says little: the reply may have waited on a
    crowded link, and a newer change may wait behind it.
    """

    def __init__(self, timers: TimerService, events: EventLog) -> None:
        self._timers = timers
        self._events = events
        self._confirmed_ms = float("-inf")
        self._unconfirmed_since_ms: float | None = None
        self._reply_delay_ms = 0.0
        self._control_version = -1
        self._has_been_confirmed = False

    @property
    def age_ms(self) -> float:
        """The time since the configuration was known to be the newest.

        Infinite before the first confirmation.
        """
        return self._timers.now_ms() - self._confirmed_ms

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration was the newest within `CONFIRMATION_LIMIT_MS`."""
        return self.age_ms <= CONFIRMATION_LIMIT_MS

    @property
    def has_been_confirmed(self) -> bool:
        """Whether a configuration was confirmed since the start of this process."""
        return self._has_been_confirmed

    @property
    def reply_delay_ms(self) -> float:
        """The time between the last answered request and the arrival of its reply."""
        return self._reply_delay_ms

    def record_reply(
        self, reply: SyncReply, sent_ms: float | None, version: int
    ) -> None:
        """Record a reply after its contents have been applied.

        `sent_ms` is when its request was sent, None if that is unknown, and `version`
        the version now in force. Control hosts of earlier builds state no version.
        """
        if sent_ms is None:
            return
        self._reply_delay_ms = self._timers.now_ms() - sent_ms
        if reply.configuration_version is not None:
            self._control_version = reply.configuration_version
            if reply.configuration_version > version:
                return
        confirmed_ms = sent_ms - reply.leader_silence_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        self._has_been_confirmed = self._has_been_confirmed or self.is_confirmed

    def record_changes(self, version: int, control_host: str | None) -> None:
        """Log when the configuration becomes unconfirmed, or is confirmed again."""
        now_ms = self._timers.now_ms()
        if self.is_confirmed and self._unconfirmed_since_ms is not None:
            duration_ms = now_ms - self._unconfirmed_since_ms
            self._unconfirmed_since_ms = None
            self._events.record(ConfigurationConfirmed(version, duration_ms))
        elif not self.is_confirmed and self._unconfirmed_since_ms is None:
            self._unconfirmed_since_ms = now_ms
            self._events.record(
                ConfigurationUnconfirmed(
                    version,
                    min(1e9, self.age_ms),
                    control_host or "",
                    self._control_version,
                    self._reply_delay_ms,
                )
            )
