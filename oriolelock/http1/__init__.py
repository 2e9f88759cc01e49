"""
oriolelock.http1
~~~~~~~~~~~~~~~~

    HTTP/1.1 over non-blocking sockets in one thread: h11 parses, a selector loop moves bytes.
"""
