"""PEM files of the settings, checked when they are read."""

import pathlib
import ssl

import msgspec


class PemFiles(msgspec.Struct, frozen=True):
    """Contents of the PEM files of one listener. ``authority`` may be empty."""

    certificate: bytes
    key: bytes
    authority: bytes = b""


def read_pem_files(files):
    """Reads the files of a ``TlsFiles``. Raises OSError or ssl.SSLError.

    The context checks that the key fits the certificate. A set of which only one file
    has been replaced so far is refused, and the next reload finds it complete.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    authority = b""
    if files.authority is not None:
        context.load_verify_locations(files.authority)
        authority = pathlib.Path(files.authority).read_bytes()
    return PemFiles(
        certificate=pathlib.Path(files.certificate).read_bytes(),
        key=pathlib.Path(files.key).read_bytes(),
        authority=authority,
    )
