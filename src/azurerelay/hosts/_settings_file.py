"""Reading of the settings file that the platform writes for a process."""

from pathlib import Path

from result import Err, Result

from azurerelay.platform import HostSettings, parse_host_settings
from azurerelay.settings import Finding


def load_host_settings(file: Path) -> Result[HostSettings, tuple[Finding, ...]]:
    """Read and parse a settings file; the error is what is wrong and where."""
    try:
        data = file.read_bytes()
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    return parse_host_settings(data, str(file))


def is_platform_settings(file: Path) -> bool:
    """Return whether a file has the platform's settings format, valid or not."""
    try:
        return b'"node_name"' in file.read_bytes()
    except OSError:
        # An unreadable file is reported when it is loaded as settings.
        return False
