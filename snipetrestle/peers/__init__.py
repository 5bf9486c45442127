"""Messages between daemons: gRPC transport, membership and configuration spread."""

import os

# The gRPC library reads this once, when it is imported, and otherwise logs ends of
# connections to standard error itself. Its errors reach the calls anyway.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
