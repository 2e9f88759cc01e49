"""
oriolelock.wire.tolerant_json
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads JSON lists of which single entries may be odd, so that the others can still be used.

    The standard parser gives up on the whole text for one value that is nested too deeply or has
    too many digits, and for one byte that is not UTF-8.
"""

import json
import math
import re

__all__ = ["OUT_OF_RANGE", "loads"]

# Values nested more deeply are replaced by null.
MAX_DEPTH = 64
# Longer numbers exceed 64 bits.
MAX_INTEGER_DIGITS = 18
# Brackets, and whole strings, in which brackets mean nothing. A string without an end is taken
# whole as well: searched for again from each quote in it, it would take quadratic time.
TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"?|[\[\]{}]', re.DOTALL)


class _OutOfRange:
    """Stands for a number that can't be represented; it is of no type that a field may have."""

    def __repr__(self) -> str:
        return "number out of range"


OUT_OF_RANGE = _OutOfRange()


def loads(data: bytes) -> object:
    """Return the value in ``data``; raises ValueError if it is not JSON.

    Numbers that are too large, and those that JSON does not know, become ``OUT_OF_RANGE``.
    Undecodable bytes become U+FFFD. The time grows linearly with the length of ``data``.
    """
    return json.loads(
        _prune(data.decode("utf-8", errors="replace")),
        parse_int=_parse_integer,
        parse_float=_parse_float,
        parse_constant=lambda name: OUT_OF_RANGE,
    )


def _parse_integer(digits):
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else OUT_OF_RANGE


def _parse_float(digits):
    number = float(digits)
    return number if math.isfinite(number) else OUT_OF_RANGE


def _prune(text):
    """Return the text with ``null`` in place of each value below ``MAX_DEPTH``."""
    kept, position, depth = [], 0, 0
    for token in TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH:
                kept += [text[position : token.start()], "null"]
        elif token[0] in "]}":
            if depth == MAX_DEPTH:
                position = token.end()
            depth -= 1
    if depth >= MAX_DEPTH:
        raise ValueError("unbalanced brackets")
    kept.append(text[position:])
    return "".join(kept)
