"""What the limits of a process leave for its connections."""

from dataclasses import dataclass
from typing import Final

_MIB: Final = 1_024 * 1_024
# A connection keeps up to this many bytes without an account, and reads at most a piece
# at a time. Both together are what a connection may take of the memory at any time.
FREE_BYTES: Final = 8 * 1_024
PIECE_BYTES: Final = 8 * 1_024
# An idle host process takes 34 to 40 MB; the rest is for its own state.
BASE_BYTES: Final = 48 * _MIB
# Half of the rest is left for copies that exist during one call, and for free memory
# that the allocator does not return.
BUDGET_SHARE: Final = 0.5
# Of the budget, this share is for connections with up to `FREE_BYTES`.
CONNECTION_SHARE: Final = 0.25
# The largest legal message, with characters of four bytes, in all its copies.
MIN_BUDGET_BYTES: Final = 12 * _MIB
# Descriptors for endpoints, links and files, and connections that are accepted before
# they are counted.
MIN_OWN_DESCRIPTORS: Final = 96
OWN_DESCRIPTOR_SHARE: Final = 0.2
# Descriptors for each HTTP service.
MIN_HTTP_CONNECTIONS: Final = 16
HTTP_DESCRIPTOR_SHARE: Final = 0.05
MIN_CONNECTIONS: Final = 16


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The limits of the settings; None means that there is none."""

    memory_bytes: int | None = None
    file_descriptors: int | None = None

    @property
    def budget_bytes(self) -> int | None:
        """Bytes that all connections may hold beyond `FREE_BYTES` each."""
        available = self._available_bytes
        if available is None:
            return None
        return max(MIN_BUDGET_BYTES, int(available * (1 - CONNECTION_SHARE)))

    @property
    def max_callers(self) -> int | None:
        """How many callers may be connected."""
        bounds = []
        available = self._available_bytes
        if available is not None:
            share = available * CONNECTION_SHARE
            bounds.append(int(share / (FREE_BYTES + PIECE_BYTES)))
        if self.file_descriptors is not None:
            own = max(
                MIN_OWN_DESCRIPTORS, int(self.file_descriptors * OWN_DESCRIPTOR_SHARE)
            )
            http = 2 * (self.max_http_connections or 0)
            bounds.append(self.file_descriptors - own - http)
        return max(MIN_CONNECTIONS, min(bounds)) if bounds else None

    @property
    def max_http_connections(self) -> int | None:
        """How many clients may be connected to one HTTP service."""
        if self.file_descriptors is None:
            return None
        return max(
            MIN_HTTP_CONNECTIONS, int(self.file_descriptors * HTTP_DESCRIPTOR_SHARE)
        )

    @property
    def _available_bytes(self) -> float | None:
        if self.memory_bytes is None:
            return None
        return max(0, self.memory_bytes - BASE_BYTES) * BUDGET_SHARE
