"""Reads the published configuration from the platform, whole or in parts.

The service holds values of up to a megabyte, and a document of 15,000 adapters and
3,900 backend servers is larger. Its value is then an index, ``parts: {PART: SHA-256}``,
and each part is a value of its own with some of the sections' items. Parts are written
before the index that names them. A reader fetches only the parts that changed.
"""

import hashlib

import msgspec

from snipetrestle.checking import InvalidDocument, load_text
from snipetrestle.peers.configuration_changes import (
    ITEM_TYPES_BY_SECTION,
    SINGLE_TYPES_BY_NAME,
    Changes,
    Content,
    convert_item,
    items_by_name,
)
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle.published import PublishedConfiguration

_REQUIRED_SECTIONS = frozenset(
    field.name
    for field in msgspec.structs.fields(PublishedConfiguration)
    if field.required
)


class _NotComparable(Exception):
    """The document cannot be compared item by item."""


class _Part:
    __slots__ = ("digest", "names_by_section", "singles")

    def __init__(self, digest, layout):
        self.digest = digest
        self.names_by_section = {
            section: frozenset(items) for section, items in layout.sections.items()
        }
        self.singles = frozenset(layout.singles)


class _Layout:
    """The items of one part in plain data, by section and name."""

    __slots__ = ("sections", "singles")

    def __init__(self, data):
        if not isinstance(data, dict):
            raise _NotComparable
        self.sections = {}
        self.singles = {}
        for key, value in data.items():
            if key in SINGLE_TYPES_BY_NAME and isinstance(value, dict):
                self.singles[key] = value
            elif key in ITEM_TYPES_BY_SECTION and isinstance(value, list):
                self.sections[key] = _items_by_name(value)
            else:
                raise _NotComparable


def _items_by_name(items):
    items_by_name = {}
    for item in items:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or name in items_by_name:
            raise _NotComparable
        items_by_name[name] = item
    return items_by_name


class ConfigurationReader:
    """Turns revisions of the service into contents against the accepted revision."""

    def __init__(self, source):
        self._source = source
        self._parts_by_key = {}
        # The accepted revision that the known parts belong to, and the parts that a
        # refused revision changed since.
        self._based_on = 0
        self._dirty = set()
        # Highest revision that was read from the service.
        self.revision = 0

    async def next_reading(self):
        """Returns a newer reading or None. Raises SourceUnreachable."""
        if not self.revision:
            return await self._source.read()
        return await self._source.watch(self.revision)

    async def content(self, reading, accepted_revision, configuration):
        """Returns the reading's content against the accepted configuration.

        Raises SourceUnreachable, also if the parts do not belong to the index.
        """
        try:
            data = load_text(reading.document)
        except InvalidDocument:
            return Content(reading.revision, 0, text=reading.document)
        digests = _index_of(data)
        if digests is None:
            digests = {"": _digest(reading.document)}
        keys = self._keys_to_read(digests, accepted_revision, reading.revision)
        texts = {}
        for key in keys:
            texts[key] = (
                await self._read_part(key, digests[key]) if key else reading.document
            )
        try:
            layouts = {
                key: _Layout(data if key == "" else load_text(text))
                for key, text in texts.items()
            }
            return self._compare(
                reading.revision, digests, layouts, accepted_revision, configuration
            )
        except (_NotComparable, InvalidDocument):
            return await self._whole(reading, digests, texts)

    def skip(self, revision):
        """Notes a revision that is not read because it is old."""
        self.revision = max(self.revision, revision)

    def settle(self, revision, accepted):
        """Notes whether the content just read is in effect now."""
        self.skip(revision)
        if accepted:
            self._based_on = revision
            self._dirty.clear()

    def _keys_to_read(self, digests, accepted_revision, revision):
        same_base = self._based_on == accepted_revision or revision == accepted_revision
        if not same_base or not self._parts_by_key:
            return list(digests)
        return [
            key
            for key, digest in digests.items()
            if key in self._dirty
            or key not in self._parts_by_key
            or self._parts_by_key[key].digest != digest
        ]

    async def _read_part(self, key, digest):
        reading = await self._source.read(key)
        if _digest(reading.document) != digest:
            raise SourceUnreachable(f"part {key} does not belong to the index")
        return reading.document

    def _compare(self, revision, digests, layouts, accepted_revision, configuration):
        known = {
            key: _Part(digest, layouts[key])
            if key in layouts
            else self._parts_by_key[key]
            for key, digest in digests.items()
        }
        names = _all_names(known.values())
        if not _REQUIRED_SECTIONS.issubset(names):
            raise _NotComparable
        puts = _puts(layouts.values(), configuration)
        removals = {} if configuration is None else _removals(names, configuration)
        singles = _singles(known.values(), layouts.values(), configuration)
        self._parts_by_key = known
        self._dirty.update(layouts)
        return Content(
            revision, accepted_revision, changes=Changes(puts, removals, singles)
        )

    async def _whole(self, reading, digests, texts):
        """Returns the content as one text, for a document that cannot be compared."""
        self._parts_by_key = {}
        if "" in digests:
            return Content(reading.revision, 0, text=reading.document)
        merged = {}
        for key, digest in digests.items():
            text = texts.get(key) or await self._read_part(key, digest)
            try:
                data = load_text(text)
            except InvalidDocument:
                return Content(reading.revision, 0, text=text)
            _merge_part(merged, key, data)
        return Content(reading.revision, 0, text=msgspec.json.encode(merged))


def _index_of(data):
    """Returns digests by part, or None if the document is whole."""
    if not isinstance(data, dict) or set(data) != {"parts"}:
        return None
    parts = data["parts"]
    if not isinstance(parts, dict) or "" in parts:
        return None
    if not all(isinstance(item, str) for pair in parts.items() for item in pair):
        return None
    return parts


def _digest(text):
    return hashlib.sha256(text).hexdigest()


def _all_names(parts):
    """Returns names by section over all parts, each of which has to be unique."""
    names_by_section = {}
    for part in parts:
        for section, names in part.names_by_section.items():
            known = names_by_section.setdefault(section, set())
            before = len(known)
            known |= names
            if len(known) != before + len(names):
                raise _NotComparable
    return names_by_section


def _puts(layouts, configuration):
    puts = {}
    for layout in layouts:
        for section, items in layout.sections.items():
            accepted = {}
            if configuration is not None:
                accepted = items_by_name(configuration, section)
            item_type = ITEM_TYPES_BY_SECTION[section]
            changed = [
                raw
                for name, raw in items.items()
                if convert_item(item_type, raw, section, []) != accepted.get(name)
                or name not in accepted
            ]
            if changed:
                puts.setdefault(section, []).extend(changed)
    return puts


def _removals(names_by_section, configuration):
    removals = {}
    for section in ITEM_TYPES_BY_SECTION:
        accepted = items_by_name(configuration, section)
        removed = accepted.keys() - names_by_section.get(section, ())
        if removed:
            removals[section] = sorted(removed)
    return removals


def _singles(parts, layouts, configuration):
    present = [name for part in parts for name in part.singles]
    if len(present) != len(set(present)):
        raise _NotComparable
    singles = {name: raw for layout in layouts for name, raw in layout.singles.items()}
    for name, single_type in SINGLE_TYPES_BY_NAME.items():
        accepted = single_type()
        if configuration is not None:
            accepted = getattr(configuration, name)
        if name not in present and accepted != single_type():
            singles[name] = None
        elif name in singles and (
            convert_item(single_type, singles[name], name, []) == accepted
        ):
            del singles[name]
    return singles


def _merge_part(merged, key, data):
    """Adds a part to ``merged``; what cannot be merged becomes an unknown field."""
    if not isinstance(data, dict):
        merged[f"part {key}"] = data
        return
    for name, value in data.items():
        if name not in merged:
            merged[name] = value
        elif isinstance(value, list) and isinstance(merged[name], list):
            merged[name] = [*merged[name], *value]
        else:
            merged[f"{name} of part {key}"] = value
