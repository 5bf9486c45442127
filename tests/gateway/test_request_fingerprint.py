"""Tests of the hash that identifies the repetitions of a request."""

import testtools

from snipetrestle.gateway.callers.request_head import Request
from snipetrestle.gateway.quarantine.request_fingerprint import request_fingerprint
from snipetrestle.platform.headers import PlatformDialect


def fingerprint(
    method=b"POST",
    target=b"/draft/a",
    host=b"desk.example",
    body=b"content",
    request_id=b"1",
    **headers,
):
    """Returns the fingerprint of a request with some headers, by lower-case name."""
    fields = [(b"host", host), (b"x-request-id", request_id)]
    fields += [
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    ]
    request = Request(method, target, fields, True)
    request.body = body
    return request_fingerprint(request, PlatformDialect().read_request(fields))


class RequestFingerprintTest(testtools.TestCase):
    def test_repetition_has_the_same_fingerprint(self):
        """A repetition with a new id and deadline was taken for a new request."""
        first = fingerprint(x_deadline_ms=b"9000", x_prompt_prefix=b"a:1,b:2")
        again = fingerprint(
            request_id=b"2",
            host=b"DESK.example:80",
            x_deadline_ms=b"7000",
            x_prompt_prefix=b"a:1,c:3",
        )
        self.assertEqual(first, again)

    def test_other_requests_have_other_fingerprints(self):
        """Sound requests must not be taken for one that crashes replicas."""
        variants = [
            {},
            {"method": b"PUT"},
            {"target": b"/draft/a?x=1"},
            {"host": b"other.example"},
            {"body": b"content2"},
            {"body": b""},
            {"x_model": b"m0"},
            {"x_model": b"m0/a1"},
            {"x_prompt_prefix": b"a:1,own:2"},
            {"x_prompt_prefix": b"a:1,b:1,own:2"},
            # The boundary between two fields is part of what is hashed.
            {"target": b"/draft/acon", "body": b"tent"},
        ]
        fingerprints = {fingerprint(**variant) for variant in variants}
        self.assertEqual(len(variants), len(fingerprints))
