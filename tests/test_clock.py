"""The monotonic clock counts time during which the machine was suspended."""

import time

from oriolelock import clock

SUSPENDED_S = 30.0


def test_lease_runs_out_while_the_machine_is_suspended(monkeypatch):
    read_clock = time.clock_gettime

    def after_a_suspension(clock_id):
        # Only CLOCK_BOOTTIME continues while a machine is suspended.
        return read_clock(clock_id) + (SUSPENDED_S if clock_id == time.CLOCK_BOOTTIME else 0.0)

    lease_end_s = clock.monotonic_s() + 5.0
    monkeypatch.setattr(time, "clock_gettime", after_a_suspension)
    assert clock.monotonic_s() > lease_end_s
