"""TLS credentials of the transport between daemons, with reload at run time."""

import ssl

import anyio
import grpc

from snipetrestle.events import Event, log_event
from snipetrestle.pem_files import read_pem_files


class TlsMaterial:
    """The current certificate, key and certificate authority, for clients and servers.

    ``version`` rises with each change, so that channels with older credentials can be
    closed.
    """

    def __init__(self, files, contents):
        self._files = files
        self._contents = contents
        self._channel_credentials = None
        self.version = 1

    @classmethod
    def from_files(cls, files):
        """Reads the files of a ``TlsFiles``. Raises OSError or ssl.SSLError."""
        return cls(files, read_pem_files(files))

    def channel_credentials(self):
        """Returns the credentials that all channels of this version share.

        They are shared because each credentials object holds its own parsed copy of the
        certificates.
        """
        if self._channel_credentials is None:
            self._channel_credentials = grpc.ssl_channel_credentials(
                root_certificates=self._contents.authority,
                private_key=self._contents.key,
                certificate_chain=self._contents.certificate,
            )
        return self._channel_credentials

    def server_credentials(self):
        """Returns credentials that use the latest reloaded files at each handshake."""
        served_version = self.version

        def fetch_if_changed():
            nonlocal served_version
            if served_version == self.version:
                return None
            served_version = self.version
            return self._server_configuration()

        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            fetch_if_changed,
            require_client_authentication=True,
        )

    def _server_configuration(self):
        return grpc.ssl_server_certificate_configuration(
            [(self._contents.key, self._contents.certificate)],
            self._contents.authority,
        )

    def reload(self):
        """Reads the files again. Keeps the old ones if key and certificate mismatch."""
        try:
            contents = read_pem_files(self._files)
        except (OSError, ssl.SSLError) as error:
            log_event(Event.TLS_RELOAD_FAILED, detail=str(error))
            return
        if contents != self._contents:
            self._contents = contents
            self._channel_credentials = None
            self.version += 1
            log_event(Event.TLS_RELOADED, certificate=self._files.certificate)

    async def run_reloads(self, interval_s):
        """Reloads the files at this interval until cancelled."""
        while True:
            await anyio.sleep(interval_s)
            self.reload()
