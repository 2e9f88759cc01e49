"""
oriolelock.wire.strict_json
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads JSON documents of operators, of which no part may be misread.
"""

import json

__all__ = ["loads"]


def loads(data: bytes | str) -> object:
    """Return the value in ``data``; raises ValueError if it is not JSON (RFC 8259).

    Objects that name a member twice are refused as well, of which the standard parser keeps the
    last, and constants that JSON does not know. Raises RecursionError for values nested too deeply.
    """
    return json.loads(data, object_pairs_hook=_distinct, parse_constant=_reject_constant)


def _distinct(pairs):
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError("a name occurs twice in one object")
    return members


def _reject_constant(text):
    raise ValueError(f"{text} is not a JSON number")
