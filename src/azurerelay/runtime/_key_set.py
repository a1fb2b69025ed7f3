"""The key material that a link needs."""

from collections.abc import Mapping
from typing import Protocol


class KeySet(Protocol):
    """A process's own CURVE key pair and the public keys of trusted hosts."""

    @property
    def public(self) -> str:
        """The process's own public key, Z85-encoded."""

    @property
    def secret(self) -> str:
        """The process's own secret key, Z85-encoded."""

    @property
    def trusted(self) -> Mapping[str, str]:
        """The public keys, by host name, of the hosts that may connect."""

    def is_trusted_key(self, name: str, public_key: str) -> bool:
        """Return whether a public key is the trusted one of the named host."""
