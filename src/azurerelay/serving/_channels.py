"""The channels to a group's endpoints."""

from result import Err, Ok, Result

from azurerelay.endpoints import EndpointCall
from azurerelay.requests import CallerAnswer, ErrorCode
from azurerelay.serving._answers import DEFAULT_RETRY_AFTER_MS, not_run
from azurerelay.serving._change_signal import ChangeSignal
from azurerelay.serving._endpoint_channel import EndpointChannel
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import with_timeout


class Channels:
    """One channel per endpoint, and the wait for a usable primary."""

    def __init__(self, context: ServingContext, signal: ChangeSignal) -> None:
        self._context = context
        self._signal = signal
        self._channels: dict[str, EndpointChannel] = {}

    @property
    def by_name(self) -> dict[str, EndpointChannel]:
        """Channels by endpoint name; read only."""
        return self._channels

    def configure(self) -> None:
        """Open, update and close channels to match the group's endpoints."""
        context = self._context
        endpoints = {e.name: e for e in context.state.group_endpoints(context.group)}
        for name in set(self._channels) - set(endpoints):
            self._channels.pop(name).close()
        for name, endpoint in endpoints.items():
            known = self._channels.get(name)
            if known is not None and known.record.address != endpoint.address:
                known.close()
                known = None
            if known is None:
                self._channels[name] = EndpointChannel(
                    endpoint, context.policy, context.endpoints, context.timers
                )
            else:
                known.configure(endpoint, context.policy)
            self._channels[name].warm_up()

    def reset_circuit(self, name: str) -> None:
        """Close the circuit of an endpoint that has answered a probe."""
        channel = self._channels.get(name)
        if channel is not None and channel.is_circuit_open:
            channel.reset_circuit()
            self._signal.notify()

    def interrupt(self, name: str, detail: str) -> None:
        """Fail all outstanding calls to an endpoint; their outcome is unknown."""
        channel = self._channels.get(name)
        if channel is not None:
            channel.interrupt(detail)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for channel in self._channels.values():
            channel.pool.close_idle()

    def primary_wait_deadline_ms(self, deadline_ms: float) -> float:
        """Return the time until which a request that starts now awaits a primary."""
        return min(deadline_ms, self._context.now_ms() + self._context.policy.hold_ms)

    async def wait_for_primary(
        self, wait_until_ms: float, is_write: bool
    ) -> Result[EndpointChannel, CallerAnswer]:
        """Wait until the time `wait_until_ms` for a primary and a valid lease.

        Writes also wait while a planned change of primary holds them back.
        """
        context = self._context
        while True:
            is_held = is_write and context.record.is_held
            channel = None if is_held else self._usable_primary()
            if channel is not None:
                return Ok(channel)
            remaining_ms = wait_until_ms - context.now_ms()
            if remaining_ms <= 0:
                return Err(self._no_primary_answer())
            await with_timeout(context.timers, self._signal.next_change, remaining_ms)

    def is_usable(self, term: int) -> bool:
        """Return whether calls of a term may still be sent to its primary."""
        record = self._context.record
        is_current = record.term == term and record.primary is not None
        return is_current and self._context.has_lease()

    def _usable_primary(self) -> EndpointChannel | None:
        record = self._context.record
        channel = self._channels.get(record.primary or "")
        if channel is None or not channel.is_serving:
            return None
        return channel if self._context.has_lease() else None

    def _no_primary_answer(self) -> CallerAnswer:
        record = self._context.record
        if record.primary is None:
            detail = f"group {record.name} has no primary in term {record.term}"
        elif record.is_held:
            detail = f"writes wait for a planned switch from {record.primary}"
        elif not self._context.has_lease():
            detail = "this host holds no lease from control"
        else:
            detail = f"primary {record.primary} takes no new work"
        return not_run(ErrorCode.NO_PRIMARY, detail, DEFAULT_RETRY_AFTER_MS)


def guarded(channels: Channels, term: int, call: EndpointCall) -> "GuardedCall":
    """Return a guard that returns the call while the term is usable, else None."""
    return GuardedCall(channels, term, call)


class GuardedCall:
    """A call that is made only while its term is current and the lease is valid."""

    def __init__(self, channels: Channels, term: int, call: EndpointCall) -> None:
        self._channels = channels
        self._term = term
        self._call = call

    def __call__(self) -> EndpointCall | None:
        """Return the call, or None if it must no longer be made."""
        return self._call if self._channels.is_usable(self._term) else None
