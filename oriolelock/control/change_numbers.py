"""
oriolelock.control.change_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Numbers of changes that don't say which state they refer to, such as evacuations.

    Each takes the number after the latest one on its subject, as its change id. Of several changes
    with one number only the first has an effect, so a copy that was delayed can't undo what was
    changed since.
"""

__all__ = ["ChangeNumbers", "change_id"]

PREFIX = "numbered"
SEPARATOR = "/"


def change_id(subject: str, number: int) -> str:
    """Return the id of a numbered change."""
    return f"{PREFIX}{SEPARATOR}{subject}{SEPARATOR}{number}"


def _parse(text):
    """Return subject and number of a change id, or None if the change has no number."""
    prefix, _, rest = text.partition(SEPARATOR)
    subject, _, digits = rest.rpartition(SEPARATOR)
    is_numbered = prefix == PREFIX and digits.isascii() and digits.isdigit()
    return (subject, int(digits)) if is_numbered else None


class ChangeNumbers:
    """The latest numbers by subject; one thread may write, any thread may call ``last``."""

    def __init__(self) -> None:
        self._last: dict[str, int] = {}

    def record(self, text: str) -> None:
        """Record the id of a change, of whatever kind, whose result is stored."""
        numbered = _parse(text)
        if numbered is not None:
            subject, number = numbered
            self._last[subject] = max(number, self.last(subject))

    def forget(self, text: str) -> None:
        """Forget the id of a change whose result is no longer stored."""
        numbered = _parse(text)
        if numbered is not None and self.last(numbered[0]) == numbered[1]:
            del self._last[numbered[0]]

    def last(self, subject: str) -> int:
        """Return the latest number on a subject, 0 if there is none."""
        return self._last.get(subject, 0)
