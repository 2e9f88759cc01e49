"""What an entry believes of its connections to endpoints, where the fleet changes meanwhile."""


def fail_to_connect(gateway, views):
    for view in views:
        gateway.loop_thread.call(
            lambda view=view: gateway.core.connectivity.record_failure(view, True, 0.0)
        )


def test_failures_to_reach_endpoints_that_were_removed_meanwhile_are_ignored(gateway):
    for name in ("x", "y", "z"):
        gateway.add_endpoint(name, lambda conn, head, body: False)
    gateway.configure()
    views = list(gateway.core.chooser.views.values())
    for name in ("x", "y", "z"):
        gateway.endpoints.pop(name).close()
    gateway.add_endpoint("new", lambda conn, head, body: False)
    gateway.configure()
    fail_to_connect(gateway, views)
    assert not gateway.core.connectivity.is_cut_off("s")
