"""The keys of the links between processes."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Final

import msgspec
import pydantic
import zmq
from result import Err, Ok, Result

from azurerelay.daemons._process_settings import findings_of
from azurerelay.settings import Finding

_Strict = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)
KEY_LENGTH: Final = 40
Key = Annotated[
    str, pydantic.Field(min_length=KEY_LENGTH, max_length=KEY_LENGTH, pattern=r"^\S+$")
]


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """A process's own CURVE keys and the public keys of all hosts by name."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    public: Key
    secret: Key
    trusted: dict[str, Key]

    def names_key(self, name: str, public_key: str) -> bool:
        """Return whether a public key is the one trusted for a host's name."""
        return self.trusted.get(name) == public_key


_ADAPTER: Final = pydantic.TypeAdapter(LinkKeys)


def load_link_keys(file: Path) -> Result[LinkKeys, tuple[Finding, ...]]:
    """Read a file of link keys; report all findings together."""
    try:
        return Ok(_ADAPTER.validate_json(file.read_bytes()))
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    except pydantic.ValidationError as error:
        return Err(findings_of(str(file), error))


def new_link_keys() -> bytes:
    """Return the content of a new key file that trusts nobody yet."""
    public, secret = zmq.curve_keypair()
    keys = LinkKeys(public.decode(), secret.decode(), {})
    return msgspec.json.format(msgspec.json.encode(keys), indent=2) + b"\n"
