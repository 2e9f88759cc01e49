"""Odd values don't make the rest of a text unreadable, nor reading it slow."""

import time

import pytest

from oriolelock.wire import tolerant_json


@pytest.mark.parametrize("depth", [100, 900, 200_000])
def test_values_that_are_nested_too_deeply_are_left_out(depth):
    data = b'[1,{"a":' + b"[" * depth + b'"]"' + b"]" * depth + b',"b":2},3]'
    first, second, last = tolerant_json.loads(data)
    assert (first, second["b"], last) == (1, 2, 3)
    levels, value = 0, second["a"]
    while isinstance(value, list) and value:
        levels, value = levels + 1, value[0]
    assert levels < tolerant_json.MAX_DEPTH


def test_usual_nesting_and_brackets_in_strings_are_kept():
    data = b'{"a":[{"b":"]}[{"},"\\\\","\\"[" ],"c":[[[[1]]]]}'
    assert tolerant_json.loads(data) == {"a": [{"b": "]}[{"}, "\\", '"['], "c": [[[[1]]]]}


@pytest.mark.parametrize(
    "data", [b"", b"[", b"[1,", b'["a', b'["a\\', b"]", b"[1]]", b"[" * 200_000, b"[1 2]"]
)
def test_what_is_not_json_is_refused(data):
    with pytest.raises(ValueError, match="."):
        tolerant_json.loads(data)


@pytest.mark.parametrize("tail", [b'"' + b'\\"' * 400_000, b'\\"' * 400_000, b'"a' * 400_000])
def test_hostile_text_takes_linear_time(tail):
    """Guards against a search for the ends of strings that starts again at each quote."""
    start_s = time.process_time()
    with pytest.raises(ValueError, match="."):
        tolerant_json.loads(b"[" * 5_000 + tail)
    assert time.process_time() - start_s < 5.0
