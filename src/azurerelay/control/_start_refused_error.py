"""The refusal to start from a damaged data folder."""


class StartRefusedError(Exception):
    """A stored record before the tail is damaged; the message names its place."""
