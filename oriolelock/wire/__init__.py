"""
oriolelock.wire
~~~~~~~~~~~~~~~

    Typed messages between the system's own processes, as CBOR over websockets.
"""
