"""A stand-in for the platform's list: pages, failure domains, and a long way to it."""

import http.server
import json
import threading
import time
import urllib.parse

COLUMNS = ["service", "address", "zone", "version", "slots", "state", "coldRemaining", "id", "born"]
PAGE_ENTRIES = 50


class Listing:
    """Serves ``states`` (by endpoint name) in pages of 50, over connections that are kept.

    Endpoint ``i-n`` is in failure domain ``z(n mod domains)``. ``round_trip_s``: of a connection
    and of each call. ``on_page(names)`` is called after each page that was sent; ``fails(query)``
    tells whether a call is answered with status 429.
    """

    def __init__(self, count, domains=9, round_trip_s=0.0):
        self.states = {f"i-{n}": "ready" for n in range(count)}
        self.regions = {f"z{n}": "abc"[n % 3] for n in range(domains)}
        # Fields that differ, by endpoint.
        self.rows = {}
        self.round_trip_s = round_trip_s
        self.on_page = lambda names: None
        self.fails = lambda query: False
        self.calls = self.connections = 0
        listing = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                listing.connections += 1
                time.sleep(listing.round_trip_s)

            def do_GET(self):  # noqa: N802
                query = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(self.path).query))
                listing.calls += 1
                is_refused = listing.fails(query)
                names, body = listing._page(query)
                time.sleep(listing.round_trip_s)
                self.send_response(429 if is_refused else 200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                if not is_refused:
                    listing.on_page(names)

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def domain(self, name):
        """Return the failure domain of an endpoint."""
        return f"z{int(name.removeprefix('i-')) % len(self.regions)}"

    def _page(self, query):
        names = [n for n in self.states if query.get("zone", self.domain(n)) == self.domain(n)]
        start = int(query.get("pageToken", "p-0").removeprefix("p-"))
        page = names[start : start + PAGE_ENTRIES]
        token = f"p-{start + PAGE_ENTRIES}" if start + PAGE_ENTRIES < len(names) else None
        rows = [self._row(name) for name in page]
        listed = {"instances": {"columns": COLUMNS, "rows": rows}, "nextPageToken": token}
        return page, json.dumps(listed).encode()

    def _row(self, name):
        fields = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": self.domain(name),
            "version": "v1",
            "slots": 4,
            "state": self.states[name],
            "coldRemaining": "0ms",
            "id": name,
            "born": None,
        }
        fields.update(self.rows.get(name, {}))
        return [fields[column] for column in COLUMNS]

    def close(self):
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()
