"""
oriolelock.platform.fields
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The platform's settings file: lines of ``a.b=value``, and what they mean here.
"""

import pathlib

from oriolelock.model import errors
from oriolelock.platform import quantities
from oriolelock.settings import control, gateway, getters
from oriolelock.settings import errors as settings_errors
from oriolelock.settings import node as nodes

__all__ = ["Fields", "read"]

CLUSTER = "oriolelock"
# Tells this system's processes from others by mistake; the network between them is the platform's.
CLUSTER_TOKEN = "oriolelock-on-platform"
METRICS_PORT = 9464
# The bound on shifts compares windows of 2 s: half of it each second would use all of it. The
# rest is for chance, as each entry counts its own requests only.
SHIFT_PART_PER_S = 0.28
POLL_S = 0.5
SNAPSHOT_EVERY = 500
# Three heartbeats at least; a new leader must be found within the contracts' contact window.
ELECTION_S = (1.0, 2.0)


class Fields:
    """The values of one settings file; raises SettingsError for what is missing or wrong."""

    def __init__(self, path: str, values: dict[str, str]):
        self._path = path
        self._values = values
        self._node = nodes.Node(path, "", values)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value as it stands."""
        value = self._values.get(key, default)
        if value is None:
            raise self._node.fail(key, None, "a value is required")
        return value

    def address(self, key: str) -> tuple[str, int]:
        """Return an address."""
        return getters.get_address(self._node, key)

    def addresses(self, key: str) -> tuple[tuple[str, int], ...]:
        """Return a list of addresses."""
        found = [part for part in self.text(key, "").split(",") if part]
        node = nodes.Node(self._path, key, {part: part for part in found})
        return tuple(getters.get_address(node, part) for part in found)

    def number(self, key: str, default: float) -> float:
        """Return a number."""
        text = self._values.get(key)
        if not text:
            return default
        try:
            return float(text)
        except ValueError as exc:
            raise self._node.fail(key, text, "a number") from exc

    def bound(self, name: str, default: str) -> str:
        """Return a value among the bounds of the contracts."""
        pairs = (part.partition("=") for part in self.text("bounds", "").split(","))
        return next((value for key, _, value in pairs if key == name), default)

    def bound_number(self, name: str, default: float) -> float:
        """Return a number among the bounds."""
        text = self.bound(name, str(default))
        try:
            return float(text)
        except ValueError as exc:
            raise self._node.fail(f"bounds.{name}", text, "a number") from exc

    def bound_s(self, name: str, default: str) -> float:
        """Return a time among the bounds, in seconds."""
        try:
            return quantities.read_ms(self.bound(name, default), name) / 1000.0
        except errors.InvalidData as exc:
            raise self._node.fail(f"bounds.{name}", str(exc), "a time") from exc

    def regions(self) -> dict[str, str]:
        """Return the region of each failure domain."""
        start = "zones."
        return {k[len(start) :]: v for k, v in self._values.items() if k.startswith(start)}

    def inner_port(self) -> int:
        """Return the port for links between the system's processes; the next one is for requests
        that entries delegate."""
        text = self.text("internalPortRange").partition(",")[0]
        if not text.isdigit():
            raise self._node.fail("internalPortRange", text, "a port")
        return int(text)

    def _link(self):
        return (self.text("ip"), self.inner_port())

    def seeds(self) -> tuple[tuple[str, int], ...]:
        """Return link addresses of some control replicas."""
        return tuple((host, self.inner_port()) for host, _ in self.addresses("seeds"))

    def gateway(self) -> gateway.GatewaySettings:
        """Return the settings of an entry."""
        return gateway.GatewaySettings(
            name=self.text("nodeName"),
            cluster=CLUSTER,
            region=self.text("region"),
            failure_domain=self.text("zone"),
            listen=self.address("listen.front"),
            ready_listen=self.address("listen.ready"),
            lookup_listen=self.address("listen.directory"),
            link_listen=self._link(),
            peer_listen=(self.text("ip"), self.inner_port() + 1),
            metrics_listen=(self.text("ip"), METRICS_PORT),
            control=self.seeds(),
            cluster_token=CLUSTER_TOKEN,
            retry_ratio=self.bound_number("retryBudgetRatio", 0.2),
            retry_allowance=self.bound_number("budgetExtraRetries", 20.0),
            retry_window_s=self.bound_s("budgetWindow", "10s"),
            shift_speed=SHIFT_PART_PER_S * self.bound_number("maxShiftFraction", 0.15),
            grace_s=self.bound_s("grace", "6s"),
            log_level="INFO",
        )

    def control(self) -> control.ControlSettings:
        """Return the settings of a control replica."""
        host, port = self._link()
        lost = int(self.number("faultTolerance.machines", 1))
        return control.ControlSettings(
            name=f"{host}:{port}",
            cluster=CLUSTER,
            region=self.text("region"),
            failure_domain=self.text("zone"),
            listen=self.address("listen.control"),
            link_listen=(host, port),
            data_folder=self.text("dataDir"),
            peers=(),
            record_groups=0,
            operator_token="",
            cluster_token=CLUSTER_TOKEN,
            instance_list="",
            instance_poll_s=POLL_S,
            snapshot_every=SNAPSHOT_EVERY,
            log_level="INFO",
            log_json=True,
            statsd=None,
            seeds=self.seeds(),
            min_voters=max(3, 2 * lost + 1),
            election_s=ELECTION_S,
        )


def read(path: str) -> Fields:
    """Return the fields of a settings file; raises SettingsError."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise settings_errors.SettingsError(path, "(file)", str(exc), "a readable file") from exc
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return Fields(path, {key.strip(): value.strip() for key, _, value in pairs})
