"""Incremental changes of the published configuration: encoding and application.

Changes hold plain data and not typed items, so that invalid ones are sent like valid
ones and each daemon refuses them by its own checks.
"""

import zlib

import msgspec

from snipetrestle import published
from snipetrestle.checking import (
    InvalidDocument,
    Problem,
    check_struct,
    struct_item_type_of,
    struct_type_of,
)
from snipetrestle.decoding import decode
from snipetrestle.published import PublishedConfiguration

ITEM_TYPES_BY_SECTION = {
    "models": published.Model,
    "adapters": published.Adapter,
    "customers": published.Customer,
    "backend_servers": published.BackendServer,
    "daemons": published.DaemonEntry,
    "services": published.Service,
    "weight_stores": published.WeightStore,
    "operators": published.Operator,
}
SINGLETON_TYPES_BY_NAME = {
    "policy": published.PolicyWeights,
    "writes": published.Writes,
}
# Sections that items of other sections refer to. A change in one of them requires a
# check of the whole configuration; other changes need only a check of changed items.
_REFERENCED_SECTIONS = ("models", "services", "weight_stores")
# Field names of the item types without nested structures. ``convert_item`` converts
# these with msgspec directly.
_FLAT_FIELDS_BY_TYPE = {
    item_type: frozenset(item_type.__struct_fields__)
    for item_type in ITEM_TYPES_BY_SECTION.values()
    if not any(
        struct_type_of(field.type) or struct_item_type_of(field.type)
        for field in msgspec.structs.fields(item_type)
    )
}
# Larger contents are compressed. They compress well, since adapter names are
# repetitive.
COMPRESS_ABOVE_BYTES = 1_024


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Items to add or replace and names to remove, by section.

    ``singletons`` holds the sections that are one structure, such as ``policy``; None
    resets a section to its default.
    """

    puts: dict[str, list[dict]] = {}
    removals: dict[str, list[str]] = {}
    singletons: dict[str, dict | None] = {}

    def names(self):
        """Yields (section, name) of each change."""
        for section, items in self.puts.items():
            for item in items:
                yield section, item["name"]
        for section, names in self.removals.items():
            for name in names:
                yield section, name
        for name in self.singletons:
            yield "", name


class RevisionContent(msgspec.Struct, frozen=True, array_like=True):
    """One revision: changes relative to revision ``base``, or the whole document.

    A base of 0 is the empty configuration. ``raw_document`` is used if the document is
    too malformed to be compared item by item.
    """

    revision: int
    base: int
    changes: Changes | None = None
    raw_document: bytes | None = None


_revision_content_decoder = msgspec.msgpack.Decoder(RevisionContent)


def pack(content):
    """Returns (whether compressed, encoded bytes) of a RevisionContent."""
    body = msgspec.msgpack.encode(content)
    if len(body) <= COMPRESS_ABOVE_BYTES:
        return False, body
    return True, zlib.compress(body, 1)


def unpack(compressed, body):
    """Decodes what ``pack`` returned. Raises msgspec.DecodeError or zlib.error."""
    return decode(
        _revision_content_decoder, zlib.decompress(body) if compressed else body
    )


def build_configuration(configuration, content):
    """Returns the configuration at the content's revision. Raises InvalidDocument.

    ``configuration`` is the one at ``content.base``; None for base 0.
    """
    if content.raw_document is not None:
        return PublishedConfiguration.parse(content.raw_document)
    return apply_changes(configuration, content.changes)


def apply_changes(configuration, changes):
    """Returns the changed configuration. Raises InvalidDocument with every problem.

    Unchanged items are reused and not checked again unless the changes affect a section
    that they may refer to.
    """
    problems = []
    values = {}
    changed_items = {}
    for section in dict.fromkeys((*changes.puts, *changes.removals)):
        if section not in ITEM_TYPES_BY_SECTION:
            problems.append(Problem(section, "", "no such section"))
            continue
        items = _check_changed_items(section, changes.puts.get(section, ()), problems)
        changed_items[section] = items
        values[section] = _merge(
            () if configuration is None else getattr(configuration, section),
            items,
            changes.removals.get(section, ()),
        )
    for name, data in changes.singletons.items():
        values[name] = _check_singleton(name, data, problems)
    if problems:
        raise InvalidDocument(problems)
    if configuration is None:
        values = {
            **dict.fromkeys(("models", "adapters", "customers"), ()),
            **dict.fromkeys(("backend_servers", "daemons"), ()),
            **values,
        }
        changed = PublishedConfiguration(**values)
        _run_cross_checks(changed)
        return changed
    changed = msgspec.structs.replace(configuration, **values)
    if any(section in changed_items for section in _REFERENCED_SECTIONS):
        _run_cross_checks(changed)
    else:
        _run_cross_checks(_with_changed_items_only(changed, changed_items))
    return changed


def _check_changed_items(section, raw_items, problems):
    items = {}
    for raw in raw_items:
        path = f"{section}.{raw.get('name')}"
        item = convert_item(ITEM_TYPES_BY_SECTION[section], raw, path, problems)
        if item is not None:
            items[item.name] = item
    return items


def convert_item(item_type, raw, path, problems):
    """Returns the typed item, or None after adding to ``problems``.

    Items without nested structures or unknown fields are converted by msgspec, which is
    about ten times as fast as ``check_struct``, which collects every problem.
    """
    fields = _FLAT_FIELDS_BY_TYPE.get(item_type)
    if fields is not None and fields.issuperset(raw):
        try:
            return msgspec.convert(raw, item_type)
        except msgspec.ValidationError:
            pass
    return check_struct(item_type, raw, path, problems)


def _merge(items, changed_items, removals):
    """Returns the items with changed ones replaced in place and new ones appended."""
    removed = frozenset(removals)
    new_items = dict(changed_items)
    merged = [
        new_items.pop(item.name, item) for item in items if item.name not in removed
    ]
    return (*merged, *new_items.values())


def _check_singleton(name, data, problems):
    singleton_type = SINGLETON_TYPES_BY_NAME.get(name)
    if singleton_type is None:
        problems.append(Problem(name, "", "unknown field"))
        return None
    if data is None:
        return singleton_type()
    return check_struct(singleton_type, data, name, problems)


def _run_cross_checks(configuration):
    problems = list(published.cross_checks(configuration))
    if problems:
        raise InvalidDocument(problems)


def _with_changed_items_only(configuration, changed_items):
    """Returns the configuration with only the changed adapters and backend servers.

    These two sections are the large ones, and their checks need one item at a time.
    """
    return msgspec.structs.replace(
        configuration,
        adapters=tuple(changed_items.get("adapters", {}).values()),
        backend_servers=tuple(changed_items.get("backend_servers", {}).values()),
    )


def changes_from_empty(configuration):
    """Returns the changes that build the configuration from the empty one."""
    return Changes(
        puts={
            section: msgspec.to_builtins(getattr(configuration, section))
            for section in ITEM_TYPES_BY_SECTION
        },
        singletons={
            name: msgspec.to_builtins(getattr(configuration, name))
            for name in SINGLETON_TYPES_BY_NAME
        },
    )


def changes_of(configuration, names):
    """Returns changes that set the (section, name) pairs to their current values.

    A section of "" means that the name is that of a singleton.
    """
    puts, removals, singletons = {}, {}, {}
    for section, name in names:
        if not section:
            singletons[name] = msgspec.to_builtins(getattr(configuration, name))
            continue
        item = items_by_name(configuration, section).get(name)
        if item is None:
            removals.setdefault(section, []).append(name)
        else:
            puts.setdefault(section, []).append(msgspec.to_builtins(item))
    return Changes(puts, removals, singletons)


_LOOKUP_ATTRIBUTES_BY_SECTION = {
    "models": "models_by_name",
    "adapters": "adapters_by_name",
    "customers": "customers_by_name",
    "backend_servers": "servers_by_name",
    "daemons": "daemons_by_name",
    "services": "services_by_name",
    "weight_stores": "stores_by_name",
}


def items_by_name(configuration, section):
    """Returns the items of a section by name."""
    attribute = _LOOKUP_ATTRIBUTES_BY_SECTION.get(section)
    if attribute is not None:
        return getattr(configuration, attribute)
    return {item.name: item for item in getattr(configuration, section)}
