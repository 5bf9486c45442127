"""Tests of TLS on the HTTP listeners for callers and operators."""

import pathlib
import shutil
import ssl
import tempfile

import anyio
import httpcore
import testtools

from snipetrestle.callers.listener import serving
from snipetrestle_standins.certificates import CertificateAuthority
from snipetrestle_standins.http_answers import send_response

RELOAD_S = 0.02


async def hello(scope, receive, send):
    await send_response(send, 200, b"hello")


class ListenerTlsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def issue(self, name):
        """Returns TlsFiles of a listener, issued by a new certificate authority."""
        folder = self.folder / name
        folder.mkdir()
        return CertificateAuthority(name).issue(folder, "127.0.0.1")

    async def get(self, url, files=None):
        context = files and ssl.create_default_context(cafile=files.authority)
        async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
            response = await pool.request("GET", url)
            return response.content

    async def is_trusted(self, address, files):
        try:
            return await self.get(f"https://{address}/", files) == b"hello"
        except httpcore.ConnectError:
            return False

    def test_plain_text_and_other_authorities_are_refused(self):
        """A listener with certificates must not accept plain text as well."""
        files, others = self.issue("first"), self.issue("other")

        async def main():
            async with serving(hello, "127.0.0.1:0", files) as address:
                self.assertTrue(await self.is_trusted(address, files))
                self.assertFalse(await self.is_trusted(address, others))
                with testtools.ExpectedException(httpcore.RemoteProtocolError):
                    await self.get(f"http://{address}/")

        anyio.run(main)

    def test_changed_certificate_is_used_without_a_restart(self):
        """When the certificate of a running daemon expires, an outage could follow."""
        files, renewed = self.issue("first"), self.issue("renewed")

        async def main():
            async with serving(hello, "127.0.0.1:0", files, None, RELOAD_S) as address:
                self.assertFalse(await self.is_trusted(address, renewed))
                # A new certificate without its key must not take effect.
                shutil.copy(renewed.certificate, files.certificate)
                await anyio.sleep(5 * RELOAD_S)
                self.assertTrue(await self.is_trusted(address, files))
                shutil.copy(renewed.key, files.key)
                with anyio.fail_after(10.0):
                    while not await self.is_trusted(address, renewed):  # noqa: ASYNC110
                        await anyio.sleep(RELOAD_S)

        anyio.run(main)
