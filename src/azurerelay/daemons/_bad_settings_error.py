"""The refusal to start from a bad file that the settings name."""


class BadSettingsError(Exception):
    """A file named by the settings has findings; the message lists them all."""
