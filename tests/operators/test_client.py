"""Tests of the operators' client against a daemon of raw bytes."""

import asyncio
import contextlib
import ssl
import tempfile

import anyio
import testtools

from snipetrestle.operators.client import OperatorCallFailed, OperatorClient
from snipetrestle_standins.certificates import CertificateAuthority
from snipetrestle_standins.raw_http import ok, raw_server

REPORT = b'{"numbers":[1,2]}'


async def get(url, authority=None):
    client = OperatorClient(url, "key", authority)
    return await anyio.to_thread.run_sync(client.get, "/v1/status", dict)


@contextlib.asynccontextmanager
async def tls_server(files, content):
    """Answers each TLS connection on loopback with ``content``; yields the port."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(content)
        await writer.drain()
        writer.close()

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(files.certificate, files.key)
    server = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=context)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


class OperatorClientTest(testtools.TestCase):
    def test_report_is_read_with_the_key(self):
        """A request without the key or to another path would be refused."""

        async def main():
            async with raw_server(ok(REPORT)) as server:
                report = await get(f"http://{server.address}/prefix/")
                self.assertEqual({"numbers": [1, 2]}, report)
                request = server.requests[0]
                self.assertEqual("/prefix/v1/status", request.target)
                self.assertEqual("Bearer key", request.headers["authorization"])
                self.assertEqual(server.address, request.headers["host"])

        anyio.run(main)

    def test_daemon_is_verified(self):
        """A daemon with a certificate of another authority must not get the key."""

        async def main(directory):
            own, other = CertificateAuthority(), CertificateAuthority("another")
            files = own.issue(directory, "127.0.0.1")
            other_files = other.issue(directory, "other")
            async with tls_server(files, ok(REPORT)) as port:
                url = f"https://127.0.0.1:{port}"
                self.assertEqual({"numbers": [1, 2]}, await get(url, files.authority))
                with testtools.ExpectedException(OperatorCallFailed):
                    await get(url, other_files.authority)

        with tempfile.TemporaryDirectory() as directory:
            anyio.run(main, directory)

    def test_malformed_url_fails_the_call(self):
        """A mistyped address must end in a message and not in a traceback."""
        for url in ("", "127.0.0.1:1", "ftp://127.0.0.1:1", "http://", "http://h:x"):
            client = OperatorClient(url, "key")
            self.assertRaises(OperatorCallFailed, client.post, "/v1/drain")
