"""
oriolelock.control.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~

    The control replica process: its components and the HTTP server of the operator API.
"""

import collections.abc
import threading

import cheroot.wsgi

from oriolelock import logs, metrics
from oriolelock.control import api, components
from oriolelock.settings import control as settings

__all__ = ["Daemon"]

HTTP_THREADS = 16
HTTP_TIMEOUT_S = 10
GRACEFUL_STOP_S = 5

log = logs.get_logger("control")


class Daemon:
    """Starts and stops one replica; ``fail(text)`` ends the process."""

    def __init__(self, cfg: settings.ControlSettings, fail: collections.abc.Callable):
        self._cfg = cfg
        host, port = cfg.statsd or (None, 0)
        self._components = components.Components(cfg, fail, metrics.Metrics(host, port))
        parts = self._components
        app = api.make_app(api.Api(parts.replica, parts.counters, parts.reports, parts.extra_state))
        self._http = cheroot.wsgi.Server(
            cfg.listen,
            app,
            numthreads=HTTP_THREADS,
            timeout=HTTP_TIMEOUT_S,
            shutdown_timeout=GRACEFUL_STOP_S,
        )
        self._http.max_request_header_size = 64 * 1024
        self._http.max_request_body_size = 2 * api.MAX_BODY_BYTES

    def start(self) -> None:
        """Start all components; their threads run until ``stop``."""
        self._http.prepare()
        self._components.start()
        threading.Thread(target=self._http.serve, name="http", daemon=True).start()
        log.info("Replica {} serves HTTP on {}:{}.", self._cfg.name, *self._cfg.listen)

    def stop(self) -> None:
        """Transfer leadership, then stop the HTTP server and all components."""
        log.info("Stopping.")
        self._components.hand_over()
        self._http.stop()
        self._components.stop()
        log.info("Stopped.")
