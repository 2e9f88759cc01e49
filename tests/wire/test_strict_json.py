"""Guards against documents of which a part is dropped or misread without a word."""

import pytest

from oriolelock.wire import strict_json


@pytest.mark.parametrize(
    "data",
    [
        b'{"a": 1, "a": 1}',
        b'{"a": {"b": 1, "c": 2, "b": 3}}',
        b'[{"a": 1, "a": 2}]',
        b'{"a": NaN}',
        b'{"a": -Infinity}',
        b'{"a": 1',
        b"\xff",
    ],
)
def test_documents_that_can_be_misread_are_refused(data):
    with pytest.raises(ValueError):
        strict_json.loads(data)


def test_the_same_name_in_two_objects_is_no_mistake():
    assert strict_json.loads(b'{"a": {"n": 1}, "b": {"n": 2}}') == {"a": {"n": 1}, "b": {"n": 2}}
