"""The error raised for a damaged data folder."""


class CorruptStateError(Exception):
    """The stored log or snapshot is damaged; the message names file and offset.

    An incomplete record at the end of the log is not an error.
    """
