"""Reads the published configuration from the platform's configuration service.

The service stores values of up to a megabyte, and a document of 15,000 adapters and
3,900 backend servers is larger. Its value is then an index, ``parts: {PART: SHA-256}``,
and each part is a separate value with some of the sections' items. Parts are written
before the index that lists them. A reader fetches only the parts that changed.
"""

import hashlib

import msgspec

from snipetrestle.checking import InvalidDocument, parse_document
from snipetrestle.peers.configuration_changes import (
    ITEM_TYPES_BY_SECTION,
    SINGLETON_TYPES_BY_NAME,
    Changes,
    RevisionContent,
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
    """Digest of a part and the names of its items, without the items themselves."""

    __slots__ = ("digest", "names_by_section", "singletons")

    def __init__(self, digest, part_items):
        self.digest = digest
        self.names_by_section = {
            section: frozenset(items) for section, items in part_items.sections.items()
        }
        self.singletons = frozenset(part_items.singletons)


class _PartItems:
    """Items of one part as plain data, by section and name.

    Raises _NotComparable if the part has unknown sections or unusable names.
    """

    __slots__ = ("sections", "singletons")

    def __init__(self, data):
        if not isinstance(data, dict):
            raise _NotComparable
        self.sections = {}
        self.singletons = {}
        for key, value in data.items():
            if key in SINGLETON_TYPES_BY_NAME and isinstance(value, dict):
                self.singletons[key] = value
            elif key in ITEM_TYPES_BY_SECTION and isinstance(value, list):
                self.sections[key] = _index_by_name(value)
            else:
                raise _NotComparable


def _index_by_name(items):
    """Returns raw items by name. Raises _NotComparable without unique names."""
    items_by_name = {}
    for item in items:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or name in items_by_name:
            raise _NotComparable
        items_by_name[name] = item
    return items_by_name


class ConfigurationReader:
    """Compares revisions read from the service with the accepted configuration."""

    def __init__(self, source):
        self._source = source
        self._parts_by_key = {}
        # The accepted revision that the known parts belong to, and the keys of parts
        # that were read since for revisions that were refused.
        self._parts_revision = 0
        self._unaccepted_keys = set()
        # Highest revision read from the service.
        self.revision = 0

    async def next_reading(self):
        """Returns the Reading of a newer revision, or Unchanged.

        The first call reads the value; later ones wait until it changes. Raises
        SourceUnreachable.
        """
        if not self.revision:
            return await self._source.read()
        return await self._source.watch(self.revision)

    async def content(self, reading, accepted_revision, configuration):
        """Returns the RevisionContent of a reading, relative to the accepted revision.

        Raises SourceUnreachable, also if a part does not match its digest in the index.
        """
        try:
            data = parse_document(reading.document)
        except InvalidDocument:
            return RevisionContent(reading.revision, 0, raw_document=reading.document)
        digests = _parse_index(data)
        if digests is None:
            digests = {"": _digest(reading.document)}
        keys = self._keys_to_read(digests, accepted_revision, reading.revision)
        texts = {}
        for key in keys:
            texts[key] = (
                await self._read_part(key, digests[key]) if key else reading.document
            )
        try:
            read_parts = {
                key: _PartItems(data if key == "" else parse_document(text))
                for key, text in texts.items()
            }
            return self._compare_parts(
                reading.revision, digests, read_parts, accepted_revision, configuration
            )
        except (_NotComparable, InvalidDocument):
            return await self._whole_document(reading, digests, texts)

    def skip_to(self, revision):
        """Records a revision as read, so that only later ones are waited for."""
        self.revision = max(self.revision, revision)

    def note_result(self, revision, accepted):
        """Records whether the revision just read was accepted."""
        self.skip_to(revision)
        if accepted:
            self._parts_revision = revision
            self._unaccepted_keys.clear()

    def _keys_to_read(self, digests, accepted_revision, revision):
        same_base = (
            self._parts_revision == accepted_revision or revision == accepted_revision
        )
        if not same_base or not self._parts_by_key:
            return list(digests)
        return [
            key
            for key, digest in digests.items()
            if key in self._unaccepted_keys
            or key not in self._parts_by_key
            or self._parts_by_key[key].digest != digest
        ]

    async def _read_part(self, key, digest):
        reading = await self._source.read(key)
        if _digest(reading.document) != digest:
            raise SourceUnreachable(
                f"part {key} does not match its digest in the index"
            )
        return reading.document

    def _compare_parts(
        self, revision, digests, read_parts, accepted_revision, configuration
    ):
        parts_by_key = {
            key: _Part(digest, read_parts[key])
            if key in read_parts
            else self._parts_by_key[key]
            for key, digest in digests.items()
        }
        names = _all_names(parts_by_key.values())
        if not _REQUIRED_SECTIONS.issubset(names):
            raise _NotComparable
        puts = _changed_items(read_parts.values(), configuration)
        removals = {} if configuration is None else _removed_names(names, configuration)
        singletons = _changed_singletons(
            parts_by_key.values(), read_parts.values(), configuration
        )
        self._parts_by_key = parts_by_key
        self._unaccepted_keys.update(read_parts)
        return RevisionContent(
            revision, accepted_revision, changes=Changes(puts, removals, singletons)
        )

    async def _whole_document(self, reading, digests, texts):
        """Returns the content as one document, if it cannot be compared by item."""
        self._parts_by_key = {}
        if "" in digests:
            return RevisionContent(reading.revision, 0, raw_document=reading.document)
        merged = {}
        for key, digest in digests.items():
            text = texts.get(key) or await self._read_part(key, digest)
            try:
                data = parse_document(text)
            except InvalidDocument:
                return RevisionContent(reading.revision, 0, raw_document=text)
            _merge_part(merged, key, data)
        return RevisionContent(
            reading.revision, 0, raw_document=msgspec.json.encode(merged)
        )


def _parse_index(data):
    """Returns digests by part, or None if the document is not an index."""
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
    """Returns item names by section over all parts.

    Raises _NotComparable if two parts have an item of the same section and name.
    """
    names_by_section = {}
    for part in parts:
        for section, names in part.names_by_section.items():
            known = names_by_section.setdefault(section, set())
            before = len(known)
            known |= names
            if len(known) != before + len(names):
                raise _NotComparable
    return names_by_section


def _changed_items(read_parts, configuration):
    puts = {}
    for part_items in read_parts:
        for section, items in part_items.sections.items():
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


def _removed_names(names_by_section, configuration):
    removals = {}
    for section in ITEM_TYPES_BY_SECTION:
        accepted = items_by_name(configuration, section)
        removed = accepted.keys() - names_by_section.get(section, ())
        if removed:
            removals[section] = sorted(removed)
    return removals


def _changed_singletons(parts, read_parts, configuration):
    present = [name for part in parts for name in part.singletons]
    if len(present) != len(set(present)):
        raise _NotComparable
    singletons = {
        name: raw
        for part_items in read_parts
        for name, raw in part_items.singletons.items()
    }
    for name, singleton_type in SINGLETON_TYPES_BY_NAME.items():
        accepted = singleton_type()
        if configuration is not None:
            accepted = getattr(configuration, name)
        if name not in present and accepted != singleton_type():
            singletons[name] = None
        elif name in singletons and (
            convert_item(singleton_type, singletons[name], name, []) == accepted
        ):
            del singletons[name]
    return singletons


def _merge_part(merged, key, data):
    """Adds a part to ``merged``.

    Values that cannot be merged are stored under a name that the checks of the
    configuration refuse as an unknown field.
    """
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
