"""Communication between daemons: gRPC transport, membership, configuration updates."""

import os

# The gRPC library reads this variable once, at import. Without it the library logs
# closed connections to standard error, although the calls report these errors anyway.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
