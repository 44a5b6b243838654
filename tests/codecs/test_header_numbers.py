import hypothesis
import pytest
from hypothesis import strategies

from citrondoor.codecs import header_numbers

MAXIMUM = 1e6


@hypothesis.given(strategies.floats(0, MAXIMUM))
def test_a_number_is_read_as_programs_write_it(number):
    # Guards against a number that is ignored for its digits or its exponent.
    text = repr(number).encode()
    assert header_numbers.parse_decimal(text, MAXIMUM) == number


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b"3.3333333333333335", 10 / 3),
        (b"1.0E-4", 1e-4),
        (b"1e+06", 1e6),
        (b"5.", 5),
        (b".5", 0.5),
        (b"+2", 2),
        (b"007", 7),
        (b"9" * 400, MAXIMUM),
        (b"1e999", MAXIMUM),
    ],
)
def test_numbers_are_read_in_each_usual_form(text, number):
    assert header_numbers.parse_decimal(text, MAXIMUM) == number


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b".",
        b"-1",
        b"nan",
        b"inf",
        b"1_0",
        b"1,5",
        b"1 2",
        b"e5",
        b"1e",
        b"0x10",
        b"\xd9\xa3",
        b"9" * 100_000,
    ],
)
def test_what_is_no_decimal_number_is_not_read(text):
    assert header_numbers.parse_decimal(text, MAXIMUM) is None
