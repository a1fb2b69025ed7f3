"""What the control leader finds when it contacts a suspected primary itself."""

from enum import Enum


class PrimaryContact(Enum):
    """The outcome of a control leader's own attempt to reach a primary.

    `ANSWERED` means that the endpoint refused a connection because of its limits, or
    that its replies belong to other commands, so it is alive. `DENIED` means that it
    says that it is not the primary, or that another endpoint answers at its address.
    `SILENT` means that it did not answer over an open connection, `UNREACHABLE` that
    nothing listens at its address. `UNKNOWN` means that there was no connection to ask
    over.
    """

    PROVEN = "proven"
    ANSWERED = "answered"
    DENIED = "denied"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
