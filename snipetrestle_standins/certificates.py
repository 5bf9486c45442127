"""Certificate authorities and certificates for tests and measurements."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from snipetrestle.settings import TlsFiles

CERTIFICATE_VALIDITY = datetime.timedelta(days=1)


class CertificateAuthority:
    """Self-signed certificate authority that issues the certificates of members."""

    def __init__(self, name="snipetrestle test authority"):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _common_name(name)
        self.certificate = (
            _certificate_builder(self._name, self._name, self._key)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
            .sign(self._key, hashes.SHA256())
        )

    def issue(self, directory, name, *alternative_names):
        """Writes a member's certificate, key and authority files to ``directory``.

        The certificate is valid for ``name`` and the ``alternative_names``, which are
        DNS names or IP addresses. A member that is reached as a seed needs its IP
        address in the certificate. Returns the paths as TlsFiles.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        names = [_alternative_name(item) for item in (name, *alternative_names)]
        certificate = (
            _certificate_builder(_common_name(name), self._name, key)
            .add_extension(x509.SubjectAlternativeName(names), False)
            .sign(self._key, hashes.SHA256())
        )
        directory = pathlib.Path(directory)
        paths = {
            kind: directory / f"{name}.{kind}.pem"
            for kind in ("certificate", "key", "authority")
        }
        paths["certificate"].write_bytes(_encode_pem(certificate))
        paths["authority"].write_bytes(_encode_pem(self.certificate))
        paths["key"].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsFiles(**{kind: str(path) for kind, path in paths.items()})


def _common_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _alternative_name(text):
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def _certificate_builder(subject, issuer, key):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + CERTIFICATE_VALIDITY)
    )


def _encode_pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
