"""
oriolelock.http1
~~~~~~~~~~~~~~~~

    HTTP/1.1 over non-blocking sockets in one thread, with h11 as parser and a selector loop.
"""
