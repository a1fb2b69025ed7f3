"""Construction of a daemon's link from its settings."""

from pathlib import Path

from result import Err

from azurerelay.daemons._invalid_settings_error import InvalidSettingsError
from azurerelay.daemons._link_keys import load_link_keys
from azurerelay.daemons._wire_codec import WIRE_CODEC
from azurerelay.runtime import ZmqLink


def build_link(name: str, address: str, keys_file: str | None) -> ZmqLink:
    """Return a link, encrypted if a key file is given.

    Raises InvalidSettingsError if the key file is invalid.
    """
    if keys_file is None:
        return ZmqLink(name, address, WIRE_CODEC)
    keys = load_link_keys(Path(keys_file))
    if isinstance(keys, Err):
        raise InvalidSettingsError(
            "\n".join(str(finding) for finding in keys.err_value)
        )
    return ZmqLink(name, address, WIRE_CODEC, keys.ok_value)
