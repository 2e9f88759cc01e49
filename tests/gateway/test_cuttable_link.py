"""Guards against links of tests that lose their port while they are cut."""

import contextlib
import socket

import pytest

from tests.gateway import cuttable_link


@pytest.mark.parametrize("how", ["reset", "refuse"])
def test_nobody_else_gets_the_port_of_a_link_that_is_cut(how):
    """Connections of any process would take it, and the link could not be restored."""
    with contextlib.ExitStack() as stack:
        target = socket.create_server(("127.0.0.1", 0))
        stack.callback(target.close)
        link = cuttable_link.CuttableLink(target.getsockname())
        stack.callback(link.close)
        link.cut(how)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(link.address, 1.0)
        other = socket.socket()
        stack.callback(other.close)
        with pytest.raises(OSError):
            other.bind(link.address)
        link.restore()
        socket.create_connection(link.address, 1.0).close()
