"""Why a control host does not start."""


class DamagedDiskError(Exception):
    """The data folder cannot be trusted; nothing may be answered from it."""
