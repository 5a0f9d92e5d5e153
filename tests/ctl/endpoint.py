"""A small operators' endpoint in this process, for the command's tests."""

import http.server
import json
import threading


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers from the endpoint's table and keeps what was sent."""

    protocol_version = "HTTP/1.1"

    def _answer(self):
        endpoint = self.server.endpoint
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        path = self.path.partition("?")[0]
        endpoint.requests.append((self.command, self.path, body))
        answers = endpoint.answers.get((self.command, path), [(404, {})])
        status, document = answers.pop(0) if len(answers) > 1 else answers[0]
        if status is None:
            self.close_connection = True
            return
        text = document if isinstance(document, str) else json.dumps(document)
        payload = text.encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = _answer  # noqa: N815
    do_POST = _answer  # noqa: N815

    def log_message(self, *arguments):
        """Print nothing."""


class Endpoint:
    """Answers requests; a status of ``None`` closes without an answer.

    Attributes:
        answers: By method and path; the last of several answers is repeated.
        requests: Method, target and body of each request seen.
    """

    def __init__(self):
        self.answers = {}
        self.requests = []
        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        self._server.endpoint = self
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.01}
        )
        self._thread.start()

    @property
    def address(self):
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def answer(self, method, path, *answers):
        """Set the answers, pairs of status and document."""
        self.answers[method, path] = list(answers)

    def list_bodies(self, path):
        """Return the decoded bodies sent to a path."""
        return [json.loads(body) for _, target, body in self.requests if target == path]

    def close(self):
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()
