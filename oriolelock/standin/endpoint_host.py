"""
oriolelock.standin.endpoint_host
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoints of one process, each on its own port.
"""

import concurrent.futures
import dataclasses
import random
import threading

from oriolelock import clock, logs
from oriolelock.settings import fault, standin_endpoint
from oriolelock.standin import endpoint, endpoint_app, run_log, server

__all__ = ["EndpointHost"]

# Beside one thread for each slot and queue place: load reports, cancellations, commands, and
# connections that a fault keeps silent.
SPARE_THREADS = 12

log = logs.get_logger("stand-in")

# Senders poll the state each second.
QUIET_S = 1.2
QUIET_LIMIT_S = 6.0
QUIET_STEP_S = 0.05


class EndpointHost:
    """Starts and stops the endpoints; restarts one after a crash when its fault says so."""

    def __init__(self, cfg: standin_endpoint.EndpointsSettings):
        self._cfg = cfg
        self._runs = run_log.RunLog(cfg.runs_file)
        self._lock = threading.Lock()
        self._servers: dict[str, server.Server] = {}
        self._endpoints: dict[str, endpoint.Endpoint] = {}
        self._is_stopping = False

    def start(self) -> dict[str, tuple[str, int]]:
        """Start all endpoints; returns their addresses by name. Raises OSError."""
        with concurrent.futures.ThreadPoolExecutor(len(self._cfg.endpoints)) as pool:
            bound = pool.map(self._start_one, self._cfg.endpoints)
        return {
            item.name: address for item, address in zip(self._cfg.endpoints, bound, strict=True)
        }

    def _start_one(self, cfg):
        bound = cfg

        def on_crash(crash):
            self._crash(bound, crash)

        rng = random.Random(f"{self._cfg.seed}-{cfg.name}")
        item = endpoint.Endpoint(cfg, self._runs, rng, on_crash)
        threads = cfg.slots + cfg.queue + SPARE_THREADS
        app = endpoint_app.make_app(item)
        new = server.Server(cfg.listen, app, threads, cfg.connections)
        address = new.start()
        # A restart after a crash needs the port that the kernel chose.
        bound = dataclasses.replace(cfg, listen=address)
        with self._lock:
            self._servers[cfg.name], self._endpoints[cfg.name] = new, item
        return address

    def _crash(self, cfg, crash: fault.Fault):
        with self._lock:
            dying = self._servers.pop(cfg.name, None)
        if dying is None:
            return
        # The calling thread belongs to the dying server, which waits for its threads.
        threading.Thread(target=self._finish_crash, args=(cfg, crash, dying), daemon=True).start()

    def _finish_crash(self, cfg, crash, dying):
        dying.crash()
        if crash.restart_after_ms is None:
            return
        threading.Event().wait(crash.restart_after_ms / 1000)
        if not self._is_stopping:
            self._start_one(cfg)
            log.info(f"{cfg.name}: listening again")

    def _wait_quiet(self):
        """Keep listening until senders have noticed that this process leaves.

        A request that arrives while the port closes would be cut without having run.
        """
        end_s = clock.monotonic_s() + QUIET_LIMIT_S
        while (now := clock.monotonic_s()) < end_s:
            latest_s = max((e.requested_s for e in self._endpoints.values()), default=now)
            if now - latest_s >= QUIET_S:
                return
            threading.Event().wait(QUIET_STEP_S)

    def stop(self) -> None:
        """Refuse new work, let running work finish, then close."""
        self._is_stopping = True
        with self._lock:
            for item in self._endpoints.values():
                item.stopping = True
            servers = list(self._servers.values())
        self._wait_quiet()
        with concurrent.futures.ThreadPoolExecutor(max(1, len(servers))) as pool:
            list(pool.map(lambda item: item.stop(), servers))
        self._runs.close()
