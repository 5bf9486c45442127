"""Changes of the published configuration: how they are found and applied.

Changes hold plain data and not typed items, so that invalid ones travel like valid
ones and each daemon refuses them by its own checks.
"""

import zlib

import msgspec

from snipetrestle import published
from snipetrestle.checking import (
    InvalidDocument,
    Problem,
    check_struct,
    struct_item_of,
    struct_of,
)
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
SINGLE_TYPES_BY_NAME = {
    "policy": published.PolicyWeights,
    "writes": published.Writes,
}
# Sections without references to other items. Their items need no check when an item of
# another section changes.
_REFERENCED_SECTIONS = ("models", "services", "weight_stores")
# Fields of the item types without nested structures, which convert fast.
_FLAT_FIELDS_BY_TYPE = {
    item_type: frozenset(item_type.__struct_fields__)
    for item_type in ITEM_TYPES_BY_SECTION.values()
    if not any(
        struct_of(field.type) or struct_item_of(field.type)
        for field in msgspec.structs.fields(item_type)
    )
}
# Contents above this size are compressed; names of adapters repeat a lot.
COMPRESS_ABOVE_BYTES = 1_024


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Items to put and names to remove, by section. A single of None is the default."""

    puts: dict[str, list[dict]] = {}
    removals: dict[str, list[str]] = {}
    singles: dict[str, dict | None] = {}

    def names(self):
        """Yields (section, name) of each change."""
        for section, items in self.puts.items():
            for item in items:
                yield section, item["name"]
        for section, names in self.removals.items():
            for name in names:
                yield section, name
        for name in self.singles:
            yield "", name


class Content(msgspec.Struct, frozen=True, array_like=True):
    """One revision: changes against revision ``base``, or a whole text.

    A base of 0 is the empty configuration. A text is used where the document is too
    malformed to be compared item by item.
    """

    revision: int
    base: int
    changes: Changes | None = None
    text: bytes | None = None


_content_decoder = msgspec.msgpack.Decoder(Content)


def pack(content):
    """Returns (compressed or not, bytes) of a content."""
    body = msgspec.msgpack.encode(content)
    if len(body) <= COMPRESS_ABOVE_BYTES:
        return False, body
    return True, zlib.compress(body, 1)


def unpack(compressed, body):
    """Raises msgspec.DecodeError or zlib.error."""
    return _content_decoder.decode(zlib.decompress(body) if compressed else body)


def build(configuration, content):
    """Returns the configuration after ``content``. Raises InvalidDocument.

    ``configuration`` is the one at ``content.base``; None for base 0.
    """
    if content.text is not None:
        return PublishedConfiguration.parse(content.text)
    return apply_changes(configuration, content.changes)


def apply_changes(configuration, changes):
    """Returns a new configuration. Raises InvalidDocument with every problem.

    Unchanged items are kept as they are and not checked again unless the changes touch
    a section that they may refer to.
    """
    problems = []
    values = {}
    changed_items = {}
    for section in dict.fromkeys((*changes.puts, *changes.removals)):
        if section not in ITEM_TYPES_BY_SECTION:
            problems.append(Problem(section, "", "no such section"))
            continue
        items = _changed_items(section, changes.puts.get(section, ()), problems)
        changed_items[section] = items
        values[section] = _merge(
            () if configuration is None else getattr(configuration, section),
            items,
            changes.removals.get(section, ()),
        )
    for name, data in changes.singles.items():
        values[name] = _single(name, data, problems)
    if problems:
        raise InvalidDocument(problems)
    if configuration is None:
        values = {
            **dict.fromkeys(("models", "adapters", "customers"), ()),
            **dict.fromkeys(("backend_servers", "daemons"), ()),
            **values,
        }
        changed = PublishedConfiguration(**values)
        _check(changed)
        return changed
    changed = msgspec.structs.replace(configuration, **values)
    if any(section in changed_items for section in _REFERENCED_SECTIONS):
        _check(changed)
    else:
        _check(_narrowed(changed, changed_items))
    return changed


def _changed_items(section, raw_items, problems):
    items = {}
    for raw in raw_items:
        path = f"{section}.{raw.get('name')}"
        item = convert_item(ITEM_TYPES_BY_SECTION[section], raw, path, problems)
        if item is not None:
            items[item.name] = item
    return items


def convert_item(item_type, raw, path, problems):
    """Returns the typed item, or None after adding to ``problems``.

    Flat items with known fields take msgspec's conversion, which is about ten times as
    fast as the check that collects every problem.
    """
    fields = _FLAT_FIELDS_BY_TYPE.get(item_type)
    if fields is not None and fields.issuperset(raw):
        try:
            return msgspec.convert(raw, item_type)
        except msgspec.ValidationError:
            pass
    return check_struct(item_type, raw, path, problems)


def _merge(items, changed_items, removals):
    """Returns the items with changes in place, and new ones at the end."""
    removed = frozenset(removals)
    rest = dict(changed_items)
    merged = [rest.pop(item.name, item) for item in items if item.name not in removed]
    return (*merged, *rest.values())


def _single(name, data, problems):
    single_type = SINGLE_TYPES_BY_NAME.get(name)
    if single_type is None:
        problems.append(Problem(name, "", "unknown field"))
        return None
    if data is None:
        return single_type()
    return check_struct(single_type, data, name, problems)


def _check(configuration):
    problems = list(published.cross_checks(configuration))
    if problems:
        raise InvalidDocument(problems)


def _narrowed(configuration, changed_items):
    """Returns the configuration with only the changed adapters and backend servers.

    These two sections are the large ones, and their checks look at one item at a time.
    """
    return msgspec.structs.replace(
        configuration,
        adapters=tuple(changed_items.get("adapters", {}).values()),
        backend_servers=tuple(changed_items.get("backend_servers", {}).values()),
    )


def changes_from_empty(configuration):
    """Returns the changes that make the configuration out of the empty one."""
    return Changes(
        puts={
            section: msgspec.to_builtins(getattr(configuration, section))
            for section in ITEM_TYPES_BY_SECTION
        },
        singles={
            name: msgspec.to_builtins(getattr(configuration, name))
            for name in SINGLE_TYPES_BY_NAME
        },
    )


def changes_of(configuration, names):
    """Returns the current values of the (section, name) pairs as changes."""
    puts, removals, singles = {}, {}, {}
    for section, name in names:
        if not section:
            singles[name] = msgspec.to_builtins(getattr(configuration, name))
            continue
        item = items_by_name(configuration, section).get(name)
        if item is None:
            removals.setdefault(section, []).append(name)
        else:
            puts.setdefault(section, []).append(msgspec.to_builtins(item))
    return Changes(puts, removals, singles)


_TABLES_BY_SECTION = {
    "models": "models_by_name",
    "adapters": "adapters_by_name",
    "customers": "customers_by_name",
    "backend_servers": "servers_by_name",
    "daemons": "daemons_by_name",
    "services": "services_by_name",
    "weight_stores": "stores_by_name",
}


def items_by_name(configuration, section):
    table = _TABLES_BY_SECTION.get(section)
    if table is not None:
        return getattr(configuration, table)
    return {item.name: item for item in getattr(configuration, section)}
