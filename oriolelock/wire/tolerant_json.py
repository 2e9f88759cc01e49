"""
oriolelock.wire.tolerant_json
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads JSON lists of which single entries may be odd, so that the others can still be used.

    The standard parser gives up on the whole text for one value that is nested too deeply or has
    too many digits, and for one byte that is not UTF-8, a control character, or anything else that
    JSON does not know. What can't be read here is the smallest part of a list or object.
"""

import dataclasses
import itertools
import json
import math
import re

from oriolelock import logs

__all__ = ["OUT_OF_RANGE", "UNREADABLE", "loads"]

log = logs.get_logger("wire.json")

# Values nested more deeply are replaced by null.
MAX_DEPTH = 64
# Longer numbers exceed 64 bits.
MAX_INTEGER_DIGITS = 18
# Brackets, and whole strings, in which brackets mean nothing. A string without an end is taken
# whole as well: searched for again from each quote in it, it would take quadratic time.
TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"?|[\[\]{}]', re.DOTALL)
# The same with quotes in strings, unless something follows that ends a value, and with commas. A
# string without an end does not reach into the next element of a list.
LENIENT_TOKEN = re.compile(
    r'"(?:[^"\\\]}]|\\.|"(?!\s*(?:[,:\]}]|$))|[\]}](?!\s*,\s*[\[{]))*+"?|[\[\]{},]',
    re.DOTALL | re.ASCII,
)
OPENING = re.compile(r"[\[{]")
# Looked at in one part.
MAX_OPENINGS = 8
# A text with more is refused, as reading it takes long.
MAX_ODD = 5000
BRACKETS = {"]": "[", "}": "{"}
# Between two elements of a list that are lists or objects themselves.
SEPARATOR = re.compile(r"(?<=[\]}])\s*,\s*(?=[\[{])", re.ASCII)


class _Odd:
    """Stands for a value that can't be represented; it is of no type that a field may have."""

    def __init__(self, description: str):
        self._description = description

    def __repr__(self) -> str:
        return self._description


OUT_OF_RANGE = _Odd("number out of range")
UNREADABLE = _Odd("unreadable value")


@dataclasses.dataclass(slots=True)
class _Container:
    """A list or object from ``start`` to ``end``; ``part_ends``: where its elements end."""

    start: int
    end: int = 0
    part_ends: list[int] = dataclasses.field(default_factory=list)
    children: list["_Container"] = dataclasses.field(default_factory=list)

    def parts(self):
        """Yield where each element begins and ends."""
        start = self.start + 1
        for end in self.part_ends:
            yield start, end
            start = end + 1


def loads(data: bytes) -> object:
    """Return the value in ``data``; raises ValueError if it is not JSON.

    Numbers that are too large, and those that JSON does not know, become ``OUT_OF_RANGE``.
    Undecodable bytes become U+FFFD. Elements of a list and members of an object that are no JSON
    become ``UNREADABLE`` if the brackets around them match and others beside them can be read. The
    time grows linearly with the length of ``data``.
    """
    text = _prune(data.decode("utf-8", errors="replace"))
    try:
        return _DECODER.decode(text)
    except ValueError as exc:
        root = _find_containers(text)
        if root is None:
            text = _without_odd_elements(text)
            root = _find_containers(text)
        if root is None:
            raise
        value = _LenientReader(text).read(root)
        if value is UNREADABLE:
            raise
        log.debug("read around an odd value: {}", exc)
        return value


def _find_containers(text):
    """Return the container that is the whole text; None if its brackets do not match."""
    opened: list[_Container] = []
    root = None
    for token in LENIENT_TOKEN.finditer(text):
        char = token[0]
        if char in "[{":
            if root is not None:
                return None
            opened.append(_Container(token.start()))
        elif char in BRACKETS:
            if not opened or text[opened[-1].start] != BRACKETS[char]:
                return None
            closed = opened.pop()
            closed.end = token.end()
            closed.part_ends.append(token.start())
            if opened:
                opened[-1].children.append(closed)
            else:
                root = closed
        elif char == "," and opened:
            opened[-1].part_ends.append(token.start())
    if opened or root is None or text[: root.start].strip() or text[root.end :].strip():
        return None
    return root


class _LenientReader:
    """Reads a text around the parts that are no JSON, up to ``MAX_ODD`` of them."""

    def __init__(self, text: str):
        self._text = text
        self._odd = 0

    def read(self, container):
        """Return the list or object, with ``UNREADABLE`` for what is no JSON in it."""
        try:
            return _DECODER.decode(self._text[container.start : container.end])
        except ValueError:
            self._odd += 1
        if self._odd > MAX_ODD:
            raise ValueError("too many odd values")
        children = {child.start: child for child in container.children}
        if self._text[container.start] == "[":
            found = self._read_elements(container, children)
            values = found
        else:
            found = dict(self._read_members(container, children))
            values = found.values()
        return UNREADABLE if all(value is UNREADABLE for value in values) else found

    def _read_elements(self, container, children):
        values: list = []
        for start, end in container.parts():
            value = _parse_part(self._text[start:end])
            if value is not UNREADABLE:
                values.append(value)
                continue
            value_start = start + _offset(self._text[start:end])
            values.append(self._read_value(value_start, end, children))
            if swallowed := _swallowed(self._text[value_start:end]):
                values.append(_parse_part(swallowed))
        return values

    def _read_members(self, container, children):
        for start, end in container.parts():
            part = self._text[start:end]
            key_start = _offset(part)
            key = LENIENT_TOKEN.match(part, key_start)
            name = _parse_part(key[0]) if key is not None else UNREADABLE
            colon = part.find(":", key.end()) if isinstance(name, str) else -1
            if colon >= 0:
                value_start = start + colon + 1 + _offset(part[colon + 1 :])
                yield name, self._read_value(value_start, end, children)

    def _read_value(self, start, end, children):
        child = children.get(start)
        if child is not None and not self._text[child.end : end].strip():
            return self.read(child)
        return _parse_part(self._text[start:end])


def _offset(text):
    return len(text) - len(text.lstrip())


def _swallowed(part):
    """Return the text of the element, if any, that an unreadable part without an end took in."""
    for opening in itertools.islice(OPENING.finditer(part, 1), MAX_OPENINGS):
        rest = part[opening.start() :]
        if _parse_part(rest) is not UNREADABLE:
            return rest
    return ""


def _parse_part(text):
    try:
        return _DECODER.decode(text)
    except ValueError:
        return UNREADABLE


def _without_odd_elements(text):
    """Return the text with ``null`` for elements between others whose brackets do not match.

    Only the first and the last part have brackets of what is around the elements.
    """
    parts = SEPARATOR.split(text)
    between = []
    for part in parts[1:-1]:
        if _find_containers(part) is not None:
            between.append(part)
        else:
            between += ["null", *filter(None, (_swallowed(part),))]
    return ",".join([parts[0], *between, *parts[1:][-1:]])


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


_DECODER = json.JSONDecoder(
    parse_int=_parse_integer,
    parse_float=_parse_float,
    parse_constant=lambda name: OUT_OF_RANGE,
    strict=False,
)
