"""Requests of callers, and what their heads mean for the connection."""


class Request:
    """A complete request.

    Its first byte arrived at ``begun_at`` and its last one at ``received_at``, in
    seconds of the event loop's clock. ``held_bytes`` is the memory that it takes, with
    the copies that are made of its body.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "keep_alive",
        "begun_at",
        "received_at",
        "held_bytes",
    )

    def __init__(self, method, target, headers, keep_alive):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive
        self.begun_at = 0.0
        self.received_at = 0.0
        self.held_bytes = 0

    def release(self):
        """Frees the memory of a request that has been handled."""
        self.headers = ()
        self.body = b""

    @property
    def is_head(self):
        """Whether the response has no body, whatever length it declares."""
        return self.method == b"HEAD"

    @property
    def path(self):
        """The target without its query string, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def hostname(self):
        """The Host header without its port, in lower case; "" if there is none."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].lower()
        return ""


def format_head_without_offer(method, target, headers, http_version):
    """Returns the head of a request without its Upgrade fields."""
    lines = [b"%b %b HTTP/%b\r\n" % (method, target, http_version.encode())]
    lines += [
        b"%b: %b\r\n" % (name, value) for name, value in headers if name != b"upgrade"
    ]
    return b"".join(lines) + b"\r\n"


def names_close(headers):
    """Whether a caller ends its connection, whatever else it says of it.

    The parser lets ``keep-alive`` of HTTP/1.0 override ``close``.
    """
    return any(
        name == b"connection"
        and b"close" in (option.strip().lower() for option in value.split(b","))
        for name, value in headers
    )


def expects_continue(headers, http_version):
    """Whether a caller waits for ``100 Continue``. Other expectations are ignored.

    A request whose head declares no body is complete with its head.
    """
    return http_version == "1.1" and any(
        name == b"expect" and value.strip().lower() == b"100-continue"
        for name, value in headers
    )


def head_size_bytes(request):
    """Returns the size of a request head, also if it arrived together with its end."""
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.target) + fields


def is_unambiguous(request, http_version):
    """Whether every HTTP parser would frame and route a request in the same way.

    Guards against request smuggling.
    """
    host_count = sum(name == b"host" for name, _ in request.headers)
    content_lengths = {
        value.strip() for name, value in request.headers if name == b"content-length"
    }
    transfer_encodings = [
        value for name, value in request.headers if name == b"transfer-encoding"
    ]
    if (
        host_count != 1
        or len(content_lengths) > 1
        or (content_lengths and transfer_encodings)
    ):
        return False
    if transfer_encodings and (
        len(transfer_encodings) > 1
        or transfer_encodings[0].strip().lower() != b"chunked"
    ):
        return False
    if http_version not in ("1.1", "1.0"):
        return False
    if request.method == b"CONNECT":
        # What follows would be no HTTP, and the parser reads no further.
        return False
    is_for_server = request.method == b"OPTIONS" and request.target == b"*"
    return is_for_server or request.target.startswith(b"/")
