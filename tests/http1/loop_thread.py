"""An event loop in a thread of its own, for tests that use it over sockets."""

import concurrent.futures
import threading

from oriolelock.http1 import loop

__all__ = ["LoopThread"]


class LoopThread:
    """``call`` runs a function in the loop's thread and waits for its result."""

    def __init__(self):
        self.loop = loop.Loop()
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def call(self, function):
        fut = concurrent.futures.Future()

        def run():
            try:
                fut.set_result(function())
            except BaseException as exc:
                fut.set_exception(exc)

        self.loop.call_soon(run)
        return fut.result(10)

    def stop(self):
        self.loop.call_soon(self.loop.stop)
        self._thread.join(5)
