"""Reads numbers from the values of headers.

Programs write the same number in several ways: with all its digits, without
those before or after the point, or with an exponent.
"""

import re

_DECIMAL = re.compile(rb"\+?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?")
# A number of 64,000 digits takes 5 ms to convert.
_MAX_DIGITS = 1000


def parse_decimal(value: bytes, maximum: float) -> float | None:
    """Returns a decimal number of at least 0.

    Args:
      value: Value of a header.
      maximum: Returned instead of a greater number.

    Returns:
      The number, or None if the value is not one.
    """
    if len(value) > _MAX_DIGITS or not _DECIMAL.fullmatch(value):
        return None
    return min(float(value), maximum)
