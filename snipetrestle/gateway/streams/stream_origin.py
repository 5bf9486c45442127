"""The origin of a stream: the software that began it, and alone can go on with it."""

import msgspec
import xxhash

from snipetrestle.gateway.configuration import Name
from snipetrestle.gateway.publication.published_items import Revision

# The length of a key of ``stream_key``.
STREAM_KEY_BYTES = 16


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """The backend and the software version of the replica that began a stream.

    What two versions of a backend write does not fit together, and replicas do not
    check whose events they go on from. ``replica_id`` and ``boot`` name the process
    that began the stream; they are empty if only its version is known.
    """

    backend: Name
    version: Name
    replica_id: Name = ""
    boot: Revision = 0

    @classmethod
    def from_replica(cls, replica):
        """Returns the origin of streams that a Replica begins now."""
        entry = replica.entry
        return cls(entry.backend, replica.software_version, entry.id, entry.boot)

    @property
    def names_process(self):
        """Whether a host passed the first event on and told of it.

        An origin that was inferred names a version only.
        """
        return bool(self.replica_id)

    @property
    def process_id(self):
        """Identifies the process that began the stream, as Replica.process_id does."""
        return f"{self.replica_id} {self.boot}"

    def allows(self, replica):
        """Whether a Replica may go on with the stream.

        Nothing is known of replicas that name no version.
        """
        if not self.version or replica.entry.backend != self.backend:
            return False
        return replica.software_version == self.version


def stream_key(request_id, fingerprint, tenant_name):
    """Returns the key, of STREAM_KEY_BYTES, by which hosts keep the origin of a stream.

    ``request_id`` is that of the request that got the first event. Requests with
    another content or tenant have other keys, so they learn nothing of the stream.
    """
    digest = xxhash.xxh3_128(request_id)
    digest.update(f"\0{fingerprint}\0{tenant_name}".encode())
    return digest.digest()
