"""Guards against links that lose bytes by themselves, or that fail in another way than asked."""

import contextlib
import socket
import threading
import time

import pytest

from oriolelock.standin import links_host
from tests import waiting
from tests.standin import hosting


@contextlib.contextmanager
def echo_server():
    server = socket.create_server(("127.0.0.1", 0))

    def echo(conn):
        with conn, contextlib.suppress(OSError):
            while data := conn.recv(65536):
                conn.sendall(data)

    def accept():
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=echo, args=(server.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield server.getsockname()
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@contextlib.contextmanager
def link(**state):
    with echo_server() as target:
        item = {"name": "l", "listen": "127.0.0.1:0", "target": f"{target[0]}:{target[1]}"}
        with hosting.hosted(
            links_host.LinksHost, role="link", listen="127.0.0.1:0", links=[{**item, **state}]
        ) as bound:
            yield bound["l"], bound["commands"]


def echo(sock, data=b"hello"):
    sock.sendall(data)
    return sock.recv(65536)


def open_socket(address):
    return socket.create_connection(address, 5)


def test_delay_applies_each_way_and_bytes_arrive_whole():
    with link(delay="50 ms") as (address, _), open_socket(address) as sock:
        start_s = time.monotonic()
        assert echo(sock) == b"hello"
        assert time.monotonic() - start_s >= 0.1


def test_open_silence_hits_old_connections_for_good_and_new_ones_work():
    with link() as (address, commands), open_socket(address) as old:
        echo(old)
        assert hosting.call(commands, "POST", "/links/l", {"silence": "open"})[0] == 200
        with open_socket(address) as new:
            assert echo(new) == b"hello"
        hosting.call(commands, "POST", "/links/l", {"silence": "none"})
        old.settimeout(0.3)
        with pytest.raises(TimeoutError):
            echo(old)


def test_silence_of_all_lets_connect_and_swallows():
    with link(silence="all") as (address, _), open_socket(address) as sock:
        sock.settimeout(0.3)
        with pytest.raises(TimeoutError):
            echo(sock)


def test_cut_closes_and_refuses_until_it_is_mended():
    with link() as (address, commands), open_socket(address) as sock:
        echo(sock)
        hosting.call(commands, "POST", "/links/l", {"cut": True})
        assert sock.recv(1) == b""
        with pytest.raises(ConnectionRefusedError):
            open_socket(address)
        hosting.call(commands, "POST", "/links/l", {"cut": False})
        with open_socket(address) as again:
            assert echo(again) == b"hello"


def test_close_of_one_side_reaches_the_other():
    with link() as (address, _):
        sock = open_socket(address)
        echo(sock)
        before = threading.active_count()
        sock.close()
        waiting.until(lambda: threading.active_count() < before, what="link threads ended")
