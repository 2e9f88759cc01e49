"""
oriolelock.standin.json_reply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    JSON answers and commands of the stand-ins' control interface.
"""

import collections.abc
import json

import werkzeug.exceptions
import werkzeug.wrappers

from oriolelock.settings import errors

__all__ = ["carry_out", "make", "read"]


def make(value: object, status: int = 200) -> werkzeug.wrappers.Response:
    """Return ``value`` as a JSON response."""
    text = json.dumps(value)
    return werkzeug.wrappers.Response(text, status, mimetype="application/json")


def read(req: werkzeug.wrappers.Request) -> object:
    """Return the JSON body of a request; raises BadRequest."""
    try:
        return json.loads(req.get_data() or b"{}")
    except ValueError as exc:
        raise werkzeug.exceptions.BadRequest(f"bad JSON: {exc}") from exc


def carry_out(
    command: collections.abc.Callable[[object], object], req: werkzeug.wrappers.Request
) -> werkzeug.wrappers.Response:
    """Pass the body to ``command``; a settings error becomes a 400 answer."""
    try:
        command(read(req))
    except errors.SettingsError as exc:
        return make({"error": str(exc)}, 400)
    return make({"done": True})
