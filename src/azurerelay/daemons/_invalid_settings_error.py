"""The error raised for an invalid file that the settings refer to."""


class InvalidSettingsError(Exception):
    """A file that the settings refer to is invalid; the message lists all findings."""
