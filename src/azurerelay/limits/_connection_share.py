"""The part of an endpoint's connections that one serving host may open."""


def connection_share(connection_limit: int, percent: int, set_size: int) -> int:
    """Return the connections of one host; at least one.

    The divisor counts every serving host twice: while a serving set is replaced,
    the old and the new members may all hold connections at the same time.
    """
    return max(1, connection_limit * percent // 100 // (2 * set_size))
