"""
oriolelock.control.order_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Numbers of orders that carry no version of what they change, such as evacuations.

    Each order takes the number after the latest one on its subject, as its change id. Of several
    orders with one number only the first has an effect, so a copy that was delayed can't undo what
    was ordered since.
"""

__all__ = ["OrderNumbers", "change_id"]

SEPARATOR = "/"


def change_id(subject: str, number: int) -> str:
    """Return the change id of an order."""
    return f"order{SEPARATOR}{subject}{SEPARATOR}{number}"


def _parse(text):
    """Return subject and number of a change id, or None if it is not one of an order."""
    kind, _, rest = text.partition(SEPARATOR)
    subject, _, digits = rest.rpartition(SEPARATOR)
    is_order = kind == "order" and digits.isascii() and digits.isdigit()
    return (subject, int(digits)) if is_order else None


class OrderNumbers:
    """The latest numbers by subject; one thread may write, any thread may call ``last``."""

    def __init__(self) -> None:
        self._last: dict[str, int] = {}

    def record(self, text: str) -> None:
        """Record a change id, of whatever kind, whose result is stored."""
        order = _parse(text)
        if order is not None:
            subject, number = order
            self._last[subject] = max(number, self.last(subject))

    def forget(self, text: str) -> None:
        """Forget a change id whose result is no longer stored."""
        order = _parse(text)
        if order is not None and self.last(order[0]) == order[1]:
            del self._last[order[0]]

    def last(self, subject: str) -> int:
        """Return the latest number on a subject, 0 if there is none."""
        return self._last.get(subject, 0)
