"""
oriolelock.bench.virtual_caller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A caller that asks for entries, keeps the response for its lifetime and fails over.
"""

import io
import json
import random
import urllib.parse

import pycurl

__all__ = ["VirtualCaller"]

LOOKUP_TIMEOUT_MS = 1000


class VirtualCaller:
    """Follows the rules of docs/callers.md for one client address."""

    def __init__(self, address: str, seeds: list[str], rng: random.Random):
        self.address = address
        self._seeds = list(seeds)
        self._rng = rng
        self._entries: dict[str, list[str]] = {}
        self._expires_s: dict[str, float] = {}
        self.lookups = 0

    def entry_for(self, service: str, now: float) -> str:
        """Return the address of the entry to use, asking for it when the response is old."""
        if now >= self._expires_s.get(service, 0.0) or not self._entries.get(service):
            self._lookup(service, now)
        known = self._entries.get(service)
        return known[0] if known else self._rng.choice(self._seeds)

    def failed(self, service: str, entry: str) -> None:
        """Use the next entry of the response after a connection to ``entry`` failed."""
        known = self._entries.get(service, [])
        if entry in known:
            known.remove(entry)

    def _lookup(self, service, now):
        query = urllib.parse.urlencode({"service": service, "client": self.address})
        for seed in self._rng.sample(self._seeds, len(self._seeds)):
            body = io.BytesIO()
            curl = pycurl.Curl()
            curl.setopt(pycurl.URL, f"http://{seed}/oriolelock/lookup?{query}")
            curl.setopt(pycurl.TIMEOUT_MS, LOOKUP_TIMEOUT_MS)
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.PROXY, "")
            curl.setopt(pycurl.WRITEDATA, body)
            self.lookups += 1
            try:
                curl.perform()
                if curl.getinfo(pycurl.RESPONSE_CODE) != 200:
                    continue
                response = json.loads(body.getvalue())
            except (pycurl.error, ValueError):
                continue
            finally:
                curl.close()
            self._entries[service] = [item["address"] for item in response["entries"]]
            self._expires_s[service] = now + response["ttl_ms"] / 1000
            return
