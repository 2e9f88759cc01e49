"""Fixtures that several layers share."""

import pytest

from tests.http1 import loop_thread


@pytest.fixture
def running():
    item = loop_thread.LoopThread()
    yield item
    item.stop()
