"""
oriolelock.gateway.rumor_rounds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which news an entry still has to pass on to randomly selected entries.

    With a few recipients in each of a few rounds, and recipients that pass on what is new to them,
    news reaches all of a large fleet with near certainty.
"""

import collections.abc

__all__ = ["FAN_OUT", "INTERVAL_S", "ROUNDS", "RumorRounds"]

INTERVAL_S = 0.2
FAN_OUT = 5
ROUNDS = 4


class RumorRounds:
    """Not thread-safe. News are hashable."""

    def __init__(self) -> None:
        self._rounds_left: dict[collections.abc.Hashable, int] = {}

    def add(self, news: collections.abc.Hashable, rounds: int = ROUNDS) -> None:
        """Pass on ``news`` in the next rounds."""
        self._rounds_left[news] = rounds

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def take_round(self) -> list[collections.abc.Hashable]:
        """Return the news of the next round."""
        news = list(self._rounds_left)
        self._rounds_left = {
            item: rounds - 1 for item, rounds in self._rounds_left.items() if rounds > 1
        }
        return news
