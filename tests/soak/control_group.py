"""What control must keep while its replicas are lost and replaced, as seen from outside."""

import collections.abc
import concurrent.futures
import re
import signal
import subprocess
import time

from tests.soak import callers, fleet, ledger

__all__ = ["ACK_S", "CATCH_UP_S", "CONFIG_APPLY_S", "Broken", "ControlGroup"]

# Bounds of the users' pages: an order is acknowledged, a read shows it, a new machine counts, a
# planned stop ends.
ACK_S = 4.0
CONFIG_APPLY_S = 2.5
CATCH_UP_S = 4.0
GRACE_S = 6.0
POLL_S = 0.05
# A process writes the stacks of its threads in this time.
ABORT_S = 1.0


class Broken(Exception):
    """A promise was broken."""


class ControlGroup:
    """Finds the leader of a fleet and checks that its control works; raises Broken."""

    def __init__(self, group: fleet.Fleet, operator: callers.Operator, book: ledger.Ledger):
        self._fleet = group
        self._operator = operator
        self._book = book

    def gauges(self, host: str) -> dict[str, int]:
        """Return the gauges of a replica by name, empty if it doesn't answer."""
        text = self._operator.metrics(host)
        return {key: int(n) for key, n in re.findall(r"oriolelock_control_(\w+) (\d+)", text)}

    def find_leader(self, hosts: collections.abc.Iterable[str]) -> str:
        """Return the one of ``hosts`` that leads in the newest term, empty if none says so."""
        found = {host: self.gauges(host) for host in hosts}
        leading = {host: item["term"] for host, item in found.items() if item.get("is_leader")}
        return max(leading, key=leading.get, default="")

    def await_leader(self) -> str:
        """Return the address of the leader once there is one."""
        end_s = time.monotonic() + ACK_S
        while not (leader := self.find_leader(self._fleet.control_hosts)):
            if time.monotonic() > end_s:
                raise Broken(f"no leader within {ACK_S} s")
            time.sleep(POLL_S)
        return leader

    def stop(self, host: str) -> None:
        """Stop a replica as planned, which ends within the grace period, with 0."""
        try:
            code = self._fleet.stop(host, GRACE_S)
        except subprocess.TimeoutExpired:
            self._fleet.signal(host, signal.SIGABRT)
            time.sleep(ABORT_S)
            self._fleet.kill(host)
            raise Broken(f"{host} did not stop within {GRACE_S} s") from None
        if code:
            raise Broken(f"{host} ended a planned stop with {code}")

    def check_service(self, where: str, lost: tuple[str, ...] = ()) -> None:
        """A change is acknowledged in time, and all replicas but ``lost`` tell it in time."""
        began_s = time.monotonic()
        is_acked = self._operator.put_next(ACK_S)
        acked_s = time.monotonic()
        if not is_acked or acked_s - began_s > ACK_S:
            raise Broken(f"{where}: no change acknowledged within {ACK_S} s")
        hosts = [host for host in self._fleet.control_hosts if host not in lost]
        with concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool:
            told = list(pool.map(lambda h: self._is_told(h, acked_s + CONFIG_APPLY_S), hosts))
        silent = [host for host, is_told in zip(hosts, told, strict=True) if not is_told]
        if silent:
            raise Broken(f"{where}: not told within {CONFIG_APPLY_S} s by {', '.join(silent)}")

    def _is_told(self, host, end_s):
        while (began_s := time.monotonic()) < end_s:
            revision = self._operator.read(host)
            if revision is not None:
                self._book.reads.append((began_s, revision))
                return True
            time.sleep(POLL_S)
        return False

    def check_members(self) -> None:
        """Kill all replicas and check that each one's store has them as voters, and no other."""
        hosts = list(self._fleet.control_hosts)
        for host in hosts:
            self._fleet.kill(host)
        for host in hosts:
            if (found := self._fleet.voters(host)) != dict.fromkeys(hosts, True):
                raise Broken(f"{host}: voters by member are {found}, running are {hosts}")
