"""Decoding of JSON bodies from any sender."""

from typing import Any

import msgspec
from result import Err, Ok, Result


def decode_json_object(body: bytes) -> Result[dict[str, Any], str]:
    """Decode a JSON object; the error says why that is not possible."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return Err(f"cannot be read: {error}")
    except RecursionError:
        return Err("cannot be read: nested too deeply")
    return Ok(document) if isinstance(document, dict) else Err("must be an object")
