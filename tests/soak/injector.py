"""Faults from outside of the processes, as a plan has them."""

import signal
import threading
import time

from tests.soak import plan

__all__ = ["Injector"]

END_LIMIT_S = 30.0
STOP_S = 7.0


class Injector:
    """Carries out the faults of a plan; each ends by itself.

    With ``losses`` control replicas are hit by these only.
    """

    def __init__(self, group, endpoints, operator, book, losses=None):
        self._fleet = group
        self._endpoints = endpoints
        self._operator = operator
        self._book = book
        self._losses = losses
        self.longest_pause_s = 0.0
        self._open: list[threading.Thread] = []

    def play(self, faults: list[plan.Fault]) -> None:
        """Carry out the faults at their times; returns when the last one has ended."""
        began_s = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            self._begin(fault)
        for thread in self._open:
            thread.join(END_LIMIT_S)

    def _begin(self, fault):
        thread = threading.Thread(target=self._carry_out, args=(fault,), daemon=True)
        thread.start()
        self._open.append(thread)

    def _carry_out(self, fault):
        if isinstance(fault, plan.Loss):
            if fault.kind == "pause":
                self.longest_pause_s = max(self.longest_pause_s, fault.for_s)
            self._losses.carry_out(fault)
            return
        hits = plan.KINDS[fault.kind][0]
        group = self._fleet
        if hits == "endpoint":
            self._hit_endpoint(fault, self._endpoints[fault.target % len(self._endpoints)])
        elif fault.kind == "evacuate":
            self._operator.evacuate("z1", True)
            time.sleep(fault.for_s)
            self._operator.evacuate("z1", False)
        elif hits == "all":
            names = group.control_hosts if fault.kind == "kill-control" else group.names()
            for host in names:
                group.signal(host, signal.SIGKILL)
            time.sleep(fault.for_s)
            for host in names:
                group.kill(host)
                group.start(host)
        else:
            hosts = {"entry": group.entry_hosts, "control": group.control_hosts}
            known = hosts.get(hits, group.names())
            if self._losses and fault.kind == "reload":
                known = group.names()
                self._losses.rewrite(known[fault.target % len(known)])
            elif self._losses:
                known = group.entry_hosts
            self._hit_process(fault, known[fault.target % len(known)])

    def _hit_process(self, fault, host):
        group = self._fleet
        if fault.kind == "pause":
            self.longest_pause_s = max(self.longest_pause_s, fault.for_s)
            began_s = time.monotonic()
            group.signal(host, signal.SIGSTOP)
            time.sleep(fault.for_s)
            group.signal(host, signal.SIGCONT)
            self._book.pauses.append((host, began_s, time.monotonic()))
        elif fault.kind == "reload":
            group.signal(host, signal.SIGHUP)
        elif fault.kind == "stop":
            group.signal(host, signal.SIGTERM)
            time.sleep(STOP_S)
            group.kill(host)
            if self._losses:
                self._losses.rewrite(host)
            group.start(host)
        else:
            group.kill(host)
            if fault.kind == "wipe":
                group.wipe(host)
            time.sleep(fault.for_s)
            if self._losses:
                self._losses.rewrite(host)
            group.start(host)

    def _hit_endpoint(self, fault, item):
        if fault.kind == "reset":
            item.reset()
        elif fault.kind == "leave":
            if sum(e.state == "ready" for e in self._endpoints) > len(self._endpoints) // 2:
                item.state = "draining"
                self._book.leaving[item.name] = time.monotonic()
        elif fault.kind == "crash":
            item.crash()
            time.sleep(fault.for_s)
            item.start()
        else:
            item.mode = fault.kind
            time.sleep(fault.for_s)
            item.mode = ""
