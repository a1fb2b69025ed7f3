"""The identity of a data folder."""

import random
from typing import Final

from azurerelay.storage import Disk

IDENTITY_FILE: Final = "disk-identity"
FIRST_IDENTITY: Final = "first"  # of the seeds' disks at the very first start
_ID_SPACE: Final = 2**48


def disk_identity(disk: Disk, is_founder: bool, random_source: random.Random) -> str:
    """Return the folder's identity, and give it one if it is empty.

    A host that has lost its disk comes back under another identity, so that nobody
    counts on votes and entries that went with the disk.
    """
    known = disk.read(IDENTITY_FILE).decode(errors="replace")
    if known:
        return known
    identity = FIRST_IDENTITY
    if not is_founder:
        identity = f"{random_source.randrange(_ID_SPACE):012x}"
    disk.replace(IDENTITY_FILE, identity.encode())
    return identity
