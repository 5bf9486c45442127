"""The operator's published documents: the configuration and the adapter versions.

Each document names its own version. The highest version counts, whatever the store
holds: one that was restored from a copy may return an older document for a while.
"""

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import (
    AdapterVersion,
    RouteTable,
    RoutingConfiguration,
)

# Names in one log line.
MAX_LOGGED_NAMES = 20


class PublishedDocuments:
    """The highest known version of each document.

    ``items_by_key`` holds the items from which they were decoded. ``version_sum`` is
    the sum of their versions: a host that knows a newer version of a document than
    another, and none older, has a higher sum. ``adapter_version_count`` is the number
    of adapter versions accepted so far.
    """

    def __init__(self):
        self.configuration = None
        self.routes = RouteTable(())
        self.versions_by_adapter = {}
        self.adapter_version_count = 0
        self.items_by_key = {}
        self.version_sum = 0

    def accept(self, item, document):
        """Accepts a decoded document of the store, unless a higher version is known.

        If the operator has written other content under the known version, as is
        possible after a restore, the content of the store counts.
        """
        known_version = self._known_version(document)
        if document.version < known_version:
            return
        known_item = self.items_by_key.get(item.key)
        self.items_by_key[item.key] = item
        if document.version == known_version and item.value == known_item.value:
            return
        self.version_sum += document.version - known_version
        if isinstance(document, RoutingConfiguration):
            self._set_configuration(document)
        else:
            self._set_adapter_version(document)

    def accept_if_newer(self, item, document):
        """Accepts a decoded document of another host if its version is higher."""
        if document.version > self._known_version(document):
            self.accept(item, document)

    def _known_version(self, document):
        """Returns the known version of a document; 0 if there is none."""
        if isinstance(document, AdapterVersion):
            return self.versions_by_adapter.get(document.key, 0)
        return 0 if self.configuration is None else self.configuration.version

    def _set_configuration(self, configuration):
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            revision=configuration.version,
            routes=len(configuration.routes),
            **_tenant_fields(configuration),
        )
        _log_tenants_without_keys(configuration)

    def _set_adapter_version(self, declared):
        self.versions_by_adapter[declared.key] = declared.version
        self.adapter_version_count += 1
        log_event(
            Event.ADAPTER_VERSION_DECLARED,
            model=declared.key.model,
            adapter=declared.key.adapter,
            version=declared.version,
        )


def _tenant_fields(configuration):
    """Returns the fields of a log line that a configuration with tenants adds."""
    tenants = configuration.tenants
    return {} if tenants is None else {"tenants": len(tenants.by_name)}


def _log_tenants_without_keys(configuration):
    tenants = configuration.tenants
    names = [] if tenants is None else tenants.names_without_keys()
    if names:
        log_event(
            Event.TENANTS_WITHOUT_KEYS,
            revision=configuration.version,
            count=len(names),
            names=names[:MAX_LOGGED_NAMES],
        )
