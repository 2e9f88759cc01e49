"""
oriolelock.settings.standin
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the stand-in; the key ``role`` chooses what it emulates.
"""

from oriolelock.settings import getters, standin_endpoint, standin_instances, standin_link
from oriolelock.settings import node as nodes

__all__ = ["ROLES", "StandinSettings", "parse"]

ROLES = {
    "endpoint": standin_endpoint.parse,
    "instances": standin_instances.parse,
    "link": standin_link.parse,
}

StandinSettings = (
    standin_endpoint.EndpointsSettings
    | standin_instances.InstancesSettings
    | standin_link.LinksSettings
)


def parse(top: nodes.Node) -> StandinSettings:
    """Return the settings of the role; raises SettingsError."""
    return ROLES[getters.get_choice(top, "role", tuple(ROLES))](top)
