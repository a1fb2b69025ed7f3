"""Size limits of HTTP requests."""

from typing import Final

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 8 * 1024
