"""
oriolelock.bench.fleet_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of each process of a fleet, as data for YAML files.
"""

import secrets

from oriolelock.bench import fleet_options, link_plan, ports
from oriolelock.settings import deployment

__all__ = ["FleetSettings"]

TOKEN_BYTES = 16


class FleetSettings:
    """Addresses and settings of a fleet; nothing is started or written here."""

    def __init__(
        self,
        plan: deployment.Deployment,
        options: fleet_options.FleetOptions,
        taken: ports.Ports,
        folder: str,
    ):
        self.plan, self.options, self._folder = plan, options, folder
        self.entries = plan.entries[: options.entries]
        self.operator_token = secrets.token_hex(TOKEN_BYTES)
        self.cluster_token = secrets.token_hex(TOKEN_BYTES)
        self.instances_address = taken.take()
        self.link_commands = taken.take()
        names = [item.name for item in (*self.entries, *plan.control, *plan.endpoints)]
        self.addresses = {name: taken.take() for name in names}
        self.link_addresses = {item.name: taken.take() for item in (*self.entries, *plan.control)}
        self._links = link_plan.LinkPlan(plan, taken, options.links)
        self._log = {"level": options.log_level}

    def control(self, item: deployment.Place) -> dict:
        """Return the settings of a control replica."""
        return {
            "name": item.name,
            "cluster": self.plan.cluster,
            "region": item.region,
            "failure_domain": item.failure_domain,
            "listen": self.addresses[item.name],
            "link_listen": self.link_addresses[item.name],
            "data_folder": f"{self._folder}/data/{item.name}",
            "peers": [
                {
                    "name": peer.name,
                    "link_address": self._seen_by(item, peer),
                    "address": self.addresses[peer.name],
                    "region": peer.region,
                }
                for peer in self.plan.control
            ],
            "record_groups": self.options.record_groups,
            "operator_token": self.operator_token,
            "cluster_token": self.cluster_token,
            "instance_list": f"http://{self.instances_address}/instances",
            "instance_poll": self.options.instance_poll,
            "log": self._log,
        }

    def _seen_by(self, viewer, peer):
        address = self.link_addresses[peer.name]
        return self._links.through(viewer, viewer.name, peer, peer.name, address)

    def entry(self, item: deployment.Place) -> dict:
        """Return the settings of an entry."""
        near_first = sorted(self.plan.control, key=lambda peer: peer.region != item.region)
        found = {
            "name": item.name,
            "cluster": self.plan.cluster,
            "region": item.region,
            "failure_domain": item.failure_domain,
            "listen": self.addresses[item.name],
            "link_listen": self.link_addresses[item.name],
            "control": [self._seen_by(item, peer) for peer in near_first],
            "cluster_token": self.cluster_token,
            "threads": self.options.entry_threads,
            "picker": self.options.picker,
            "lookup_ttl": self.options.lookup_ttl,
            "leave_lag": self.options.leave_lag,
            "drain_timeout": self.options.drain_timeout,
            "log": self._log,
        }
        if self.options.stored_copies:
            found["data_folder"] = f"{self._folder}/data/{item.name}"
        return found

    def endpoint_groups(self) -> dict[str, list[deployment.PlannedEndpoint]]:
        """Return the endpoints of each endpoint process by the process's name."""
        groups: dict[str, list] = {}
        for item in self.plan.endpoints:
            name = item.name if self.options.separate_endpoints else item.service
            groups.setdefault(name, []).append(item)
        return groups

    def endpoints(self, name: str, items: list[deployment.PlannedEndpoint]) -> dict:
        """Return the settings of an endpoint process."""
        options = self.options
        return {
            "role": "endpoint",
            "seed": options.seed,
            "runs_file": f"{self._folder}/runs/{name}.jsonl",
            "log": self._log,
            "endpoints": [
                {
                    "name": item.name,
                    "listen": self.addresses[item.name],
                    "service": item.service,
                    "slots": item.slots,
                    "queue": options.endpoint_queue,
                    "connections": item.connections,
                    "service_time": options.service_time or f"{item.service_ms:g} ms",
                    "distribution": options.distribution,
                    "cold_start": options.cold_start,
                }
                for item in items
            ],
        }

    def instances(self) -> dict:
        """Return the settings of the instance list."""
        rows = [
            {**self._row(item, role), "link_address": self.link_addresses[item.name]}
            for role, items in (("entry", self.entries), ("control", self.plan.control))
            for item in items
        ]
        rows += [
            {
                **self._row(item, "endpoint"),
                "service": item.service,
                "slots": item.slots,
                "connections": item.connections,
            }
            for item in self.plan.endpoints
        ]
        return {
            "role": "instances",
            "listen": self.instances_address,
            "lag": self.options.instance_lag,
            "log": self._log,
            "instances": rows,
        }

    def _row(self, item, role):
        return {
            "id": item.name,
            "role": role,
            "address": self.addresses[item.name],
            "region": item.region,
            "failure_domain": item.failure_domain,
        }

    def links(self) -> dict | None:
        """Return the settings of the link process, None without links.

        Call it after the settings of all other processes.
        """
        if not self._links.links:
            return None
        return {
            "role": "link",
            "listen": self.link_commands,
            "log": self._log,
            "links": self._links.links,
        }
