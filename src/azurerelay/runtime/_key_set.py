"""What a link needs to know of its keys."""

from collections.abc import Mapping
from typing import Protocol


class KeySet(Protocol):
    """A process's own CURVE keys and the public keys of all hosts by name."""

    @property
    def public(self) -> str:
        """The public key."""

    @property
    def secret(self) -> str:
        """The secret key."""

    @property
    def trusted(self) -> Mapping[str, str]:
        """The public keys of the hosts that may connect."""

    def names_key(self, name: str, public_key: str) -> bool:
        """Return whether a public key is the one trusted for a host's name."""
