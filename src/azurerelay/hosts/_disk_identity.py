"""Identity of a control host's data folder."""

import random
from typing import Final

from azurerelay.storage import Disk

IDENTITY_FILE: Final = "disk-identity"
INITIAL_IDENTITY: Final = "first"  # of the seeds' folders at bootstrap
_ID_SPACE: Final = 2**48


def ensure_disk_identity(
    disk: Disk, is_initial_voter: bool, random_source: random.Random
) -> str:
    """Return the stored identity of the data folder; create it if there is none.

    A host that has lost its disk restarts with a new identity, so that other hosts do
    not rely on the votes and log entries that were lost with the disk.
    """
    stored = disk.read(IDENTITY_FILE).decode(errors="replace")
    if stored:
        return stored
    identity = INITIAL_IDENTITY
    if not is_initial_voter:
        identity = f"{random_source.randrange(_ID_SPACE):012x}"
    disk.replace(IDENTITY_FILE, identity.encode())
    return identity
