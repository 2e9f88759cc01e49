"""What callers, endpoints and operators saw, and which promises that breaks."""

import collections
import dataclasses
import threading

__all__ = ["Answer", "Ledger", "Run"]

PROMISES = (408, 421, 429, 503)
# From the list's word that an endpoint leaves until its last new request: the reader's interval,
# the commit and the way to the entries, with a paused process between.
DRAIN_S = 8.0
# A caller whose deadline has passed must have an answer by then, or a closed connection.
ANSWER_SLACK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Run:
    """An endpoint began to work on a request."""

    request_id: str
    endpoint: str
    at_s: float
    body_hash: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got; ``status`` 0: a connection that ended, -1: nothing in time."""

    request_id: str
    idempotent: bool
    status: int
    body: bytes
    stamp: str
    took_s: float
    deadline_s: float
    sent_hash: str
    host: str = ""
    at_s: float = 0.0


class Ledger:
    """Thread-safe; times are monotonic seconds."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.runs: list[Run] = []
        self.answers: list[Answer] = []
        self.made: dict[tuple[str, str], bytes] = {}
        self.leaving: dict[str, float] = {}
        self.acknowledged: list[tuple[float, int]] = []
        self.reads: list[tuple[float, int]] = []
        # When an operator began to send a revision, without an acknowledgement in its limit.
        self.unacknowledged: list[tuple[float, int]] = []
        self.final_revision: int | None = None
        # Host, start and end of each time that a process was paused.
        self.pauses: list[tuple[str, float, float]] = []

    def add_run(self, run: Run, body: bytes) -> None:
        """Note a run and the body that it makes."""
        with self._lock:
            self.runs.append(run)
            self.made[(run.request_id, run.endpoint)] = body

    def add_answer(self, answer: Answer) -> None:
        """Note what a caller got."""
        with self._lock:
            self.answers.append(answer)

    def broken(self, paused_s: float = 0.0) -> list[str]:
        """Return a line for each broken promise; ``paused_s``: the longest pause of a process."""
        with self._lock:
            return [
                *self._twice(),
                *self._untrue_refusals(),
                *self._foreign_answers(),
                *self._unasked(),
                *self._unanswered(),
                *self._after_leaving(paused_s),
                *self._old_reads(),
            ]

    def _twice(self):
        once = {item.request_id for item in self.answers if not item.idempotent}
        counts = collections.Counter(run.request_id for run in self.runs)
        return [f"twice: {name} ran {counts[name]} times" for name in once if counts[name] > 1]

    def _untrue_refusals(self):
        ran = {run.request_id for run in self.runs}
        return [
            f"refused with {item.status} but ran: {item.request_id}"
            for item in self.answers
            if not item.idempotent and item.status in PROMISES and item.request_id in ran
        ]

    def _foreign_answers(self):
        return [
            f"not the endpoint's answer: {item.request_id} from {item.stamp or 'nobody'}"
            for item in self.answers
            if 200 <= item.status < 300
            and self.made.get((item.request_id, item.stamp)) != item.body
        ]

    def _unasked(self):
        sent = {item.request_id: item.sent_hash for item in self.answers}
        return [
            f"not as sent: {run.request_id} at {run.endpoint}"
            for run in self.runs
            if sent.get(run.request_id) != run.body_hash
        ]

    def _unanswered(self):
        return [
            f"no answer: {item.request_id} within {item.deadline_s} s"
            for item in self.answers
            if item.status == -1 and not self._was_paused(item)
        ]

    def _was_paused(self, item):
        """Return whether the entry stood still while the caller waited: it can't answer then."""
        return any(
            host == item.host and start_s <= item.at_s + item.took_s and item.at_s <= end_s
            for host, start_s, end_s in self.pauses
        )

    def _after_leaving(self, paused_s):
        return [
            f"sent to a leaving endpoint: {run.request_id} to {run.endpoint}"
            for run in self.runs
            if run.at_s > self.leaving.get(run.endpoint, float("inf")) + DRAIN_S + paused_s
        ]

    def _old_reads(self):
        found = []
        for at_s, revision in self.reads:
            newest = max((r for acked_s, r in self.acknowledged if acked_s <= at_s), default=0)
            if revision < newest:
                found.append(f"read revision {revision} after {newest} was acknowledged")
        newest = max((r for _, r in self.acknowledged), default=0)
        if self.final_revision is not None and self.final_revision < newest:
            found.append(f"lost revision {newest}, {self.final_revision} at the end")
        return found

    def served_part(self, since: int) -> float:
        """Return the part of the answers from number ``since`` on that were successes."""
        late = self.answers[since:]
        return sum(200 <= item.status < 300 for item in late) / max(1, len(late))
