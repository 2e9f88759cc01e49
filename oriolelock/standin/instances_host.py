"""
oriolelock.standin.instances_host
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The process that serves the emulated instance list.
"""

from oriolelock.settings import standin_instances
from oriolelock.standin import fault_board, instance_list, instances_app, server

__all__ = ["InstancesHost"]

THREADS = 8
CONNECTIONS = 200


class InstancesHost:
    """Starts and stops the server of the instance list."""

    def __init__(self, cfg: standin_instances.InstancesSettings):
        instances = instance_list.InstanceList(cfg.instances, cfg.lag_ms)
        app = instances_app.make_app(instances, fault_board.FaultBoard(cfg.faults))
        self._server = server.Server(cfg.listen, app, THREADS, CONNECTIONS)

    def start(self) -> dict[str, tuple[str, int]]:
        """Start and return the bound address. Raises OSError."""
        return {"instances": self._server.start()}

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()
