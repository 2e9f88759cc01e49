"""
oriolelock.bench.link_plan
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The emulated links of a fleet: one for each pair of a process and an address it uses.
"""

from oriolelock.bench import ports
from oriolelock.settings import deployment

__all__ = ["LinkPlan"]


class LinkPlan:
    """Collects links while settings are written. ``use`` is false for direct connections."""

    def __init__(self, plan: deployment.Deployment, taken: ports.Ports, use: bool):
        self._plan = plan
        self._ports = taken
        self._use = use
        self.links: list[dict[str, str]] = []

    def through(self, source, source_name: str, target, target_name: str, address: str) -> str:
        """Return the address by which ``source`` reaches ``address`` of ``target``.

        The link's name is ``SOURCE>TARGET``. ``source`` and ``target`` have a ``region`` and
        a ``failure_domain``.
        """
        if not self._use or source_name == target_name:
            return address
        listen = self._ports.take()
        self.links.append(
            {
                "name": f"{source_name}>{target_name}",
                "listen": listen,
                "target": address,
                "delay": f"{self._delay_ms(source, target):g} ms",
            }
        )
        return listen

    def _delay_ms(self, source, target):
        if source.region != target.region:
            return self._plan.region_ms
        if source.failure_domain != target.failure_domain:
            return self._plan.failure_domain_ms
        return 0.0
