"""What the steps about requests share: a fleet, callers that record, and repairs."""

import concurrent.futures
import json
import threading
import uuid

from oriolelock import clock, cmdline
from oriolelock.bench import caller, errors, http, waiting
from oriolelock.standin import answers, run_log
from tests.scenarios import invariants, request_plan

WAIT_S = 30.0


class World:
    """Requests of one scenario. ``repair`` makes the fleet whole for the next one."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers: list[invariants.Answer] = []
        self.pending: list[concurrent.futures.Future] = []
        self.notes: dict[str, object] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(128)
        self._stop = threading.Event()
        self._loops: list[concurrent.futures.Future] = []
        self.cleanups: list = []
        self._began_s = clock.wall_s()

    # Requests

    def post(self, entry, operation, body, headers, timeout_s=40.0):
        """Send one request with exactly these headers to an entry and record the answer."""
        start_s = clock.wall_s()
        try:
            reply = http.request(
                "POST", self.fleet.address_of(entry), "/work", body, headers, timeout_s
            )
            fields, status, text = reply.headers, reply.status, reply.body.decode("latin-1")
        except errors.CallFailed as exc:
            fields, status, text = {"oriolelock-outcome": "lost"}, 0, str(exc)
        ran_as = None
        if fields.get("oriolelock-outcome") == "complete" and status == 200:
            data = json.loads(text)
            ran_as = (data["digest"], data["endpoint"], data["request_id"])
        item = invariants.Answer(
            entry,
            operation,
            answers.digest_of(body),
            headers.get("Idempotency-Key"),
            fields.get("oriolelock-outcome", "none"),
            fields.get("oriolelock-reason", ""),
            status,
            fields.get("oriolelock-request-id", ""),
            ran_as,
            text,
            start_s,
            clock.wall_s(),
        )
        self.answers.append(item)
        return item

    def send(self, entry, operation="read", body=None, key=None, deadline_ms=3000):
        """Send one request with a body of its own unless one is given."""
        headers = {
            "Oriolelock-Service": "s",
            "Oriolelock-Operation": operation,
            "Oriolelock-Deadline-Ms": str(deadline_ms),
        }
        if operation == "pay":
            headers["Idempotency-Key"] = key or caller.new_key()
        return self.post(entry, operation, body or uuid.uuid4().hex.encode(), headers)

    def start(self, *args, **fields):
        """Send in the background."""
        self.pending.append(self._pool.submit(self.send, *args, **fields))
        return self.pending[-1]

    def wait_all(self):
        """Return the answers to all requests sent in the background."""
        found = [fut.result(WAIT_S * 2) for fut in self.pending]
        self.pending.clear()
        return found

    def keep_sending(self, count, operation, entries=None, deadline_ms=3000, pause_s=0.02):
        """Let ``count`` callers send one request after another until ``end_load``.

        Without ``entries`` they use look-ups, as callers should.
        """
        seeds = [item.address for item in self.fleet.entries.values()]

        def loop(number):
            who = caller.Caller(seeds)
            while not self._stop.wait(pause_s):
                names = entries or [item["name"] for item in _lookup(who)]
                turn = number % max(1, len(names))
                for name in names[turn:] + names[:turn]:
                    if self.send(name, operation, deadline_ms=deadline_ms).outcome != "lost":
                        break

        self._loops += [self._pool.submit(loop, number) for number in range(count)]

    def end_load(self):
        """Stop the callers and wait for their last answers."""
        self._stop.set()
        for fut in self._loops:
            fut.result(WAIT_S * 2)
        self._loops.clear()
        self._stop.clear()

    def wait_answers(self, count, matches=lambda item: item.outcome == "complete"):
        """Wait until so many further answers match."""
        first = len(self.answers)
        waiting.until(lambda: sum(map(matches, self.answers[first:])) >= count, WAIT_S, "answers")
        return self.answers[first:]

    # Records

    def runs(self):
        """Return all runs since the scenario began, of stopped endpoints from their files."""
        found = []
        for name, item in self.fleet.endpoints.items():
            if item.is_running():
                found += http.get_json(item.address, "/runs")
            else:
                path = self.fleet.folder / "runs" / f"{name}.jsonl"
                found += run_log.RunLog(str(path)).list_runs(name)
        return [run for run in found if run["start"] >= self._began_s]

    def runs_of(self, key):
        return [run for run in self.runs() if run["key"] == key]

    def wait_running(self, count=1, **fields):
        """Wait until so many runs with these fields have begun and not ended."""

        def condition():
            found = [r for r in self.runs() if r["end"] is None]
            return sum(all(r[k] == v for k, v in fields.items()) for r in found) >= count

        waiting.until(condition, WAIT_S, f"{count} running {fields}")

    def counts(self):
        return invariants.count(self.answers, self.runs())

    def state(self, entry):
        return http.get_json(self.fleet.address_of(entry), "/oriolelock/state")

    # The fleet

    def fault(self, kind, names=request_plan.ENDPOINTS, **fields):
        for name in names:
            address = self.fleet.address_of(name)
            http.post_json(address, "/faults", {"kind": kind, **fields})

    def operate(self, *argv):
        return cmdline.main([*self.fleet.control_arguments(), "--timeout", "15s", *argv])

    def put_preset(self, name, r1=1.0, cap=0.1):
        path = self.fleet.folder / f"{name}.yaml"
        path.write_text(request_plan.PRESET.format(name=name, r1=r1, cap=cap))
        assert self.operate("preset", "put", str(path)) == 0

    def use_preset(self, name):
        version = waiting.until(self.fleet.status, WAIT_S)["version"]
        assert self.operate("preset", "use", name, "--expect-version", str(version)) == 0
        self.fleet.wait_version(version + 1, WAIT_S)

    def set_instance(self, name, **fields):
        http.post_json(self.fleet.instances.address, f"/instances/{name}", fields)

    def restart_dead(self):
        dead = [item for item in self.fleet.processes() if not item.is_running()]
        for item in dead:
            item.start()
        for item in dead:
            item.wait_ready()

    def wait_serving(self):
        """Wait until every entry answers and uses the endpoints of its own region."""

        def condition(entry):
            part = self.state(entry)["steering"]["router"]["services"].get("s", {"ejected": [0]})
            if self.send(entry).outcome != "complete" or part["ejected"]:
                return False
            return all(e["drained"] == 1.0 for e in part["endpoints"].values())

        for entry in self.fleet.entries:
            waiting.until(lambda name=entry: condition(name), WAIT_S, f"{entry} serves")

    def repair(self):
        """Undo what a scenario broke."""
        self.end_load()
        for undo in self.cleanups:
            undo()
        for item in self.fleet.processes():
            if item.is_running():
                item.resume()
        self.restart_dead()
        if self.fleet.links:
            self.fleet.set_links(lambda name: True, cut=False, silence="none", delay="5 ms")
        self.wait_all()
        for name in self.fleet.endpoints:
            for item in http.get_json(self.fleet.address_of(name), "/faults"):
                self.fault(item["kind"], [name], off=True)
        self._pool.shutdown()


def _lookup(who):
    try:
        return who.lookup("s")
    except errors.CallFailed:
        return []
