"""Files with the CURVE keys of links between processes."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Final

import msgspec
import pydantic
import zmq
from result import Err, Ok, Result

from azurerelay.daemons._process_settings import validation_findings
from azurerelay.settings import Finding

_STRICT_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)
KEY_LENGTH: Final = 40
CurveKey = Annotated[
    str, pydantic.Field(min_length=KEY_LENGTH, max_length=KEY_LENGTH, pattern=r"^\S+$")
]


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """A process's own CURVE key pair and the public keys of trusted hosts by name."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    public: CurveKey
    secret: CurveKey
    trusted: dict[str, CurveKey]

    def is_trusted_key(self, name: str, public_key: str) -> bool:
        """Return whether a public key is the trusted one of the named host."""
        return self.trusted.get(name) == public_key


_ADAPTER: Final = pydantic.TypeAdapter(LinkKeys)


def load_link_keys(file: Path) -> Result[LinkKeys, tuple[Finding, ...]]:
    """Read a JSON file of link keys; return all findings if it is invalid."""
    try:
        return Ok(_ADAPTER.validate_json(file.read_bytes()))
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    except pydantic.ValidationError as error:
        return Err(validation_findings(str(file), error))


def new_link_keys() -> bytes:
    """Return a key file with a new key pair and no trusted hosts."""
    public, secret = zmq.curve_keypair()
    keys = LinkKeys(public.decode(), secret.decode(), {})
    return msgspec.json.format(msgspec.json.encode(keys), indent=2) + b"\n"
