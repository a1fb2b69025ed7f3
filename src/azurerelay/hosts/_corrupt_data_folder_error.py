"""The error for a control host that cannot load its stored state."""


class CorruptDataFolderError(Exception):
    """The data folder holds corrupt data.

    The control host refuses to start, so that it never answers from corrupt state.
    """
