"""Validation of documents against typed structures, reporting all errors at once."""

import types
import typing

import msgspec
import yaml


class Problem(msgspec.Struct, frozen=True):
    """One error in a document: its path, the invalid value and the violated rule."""

    path: str
    value: str
    rule: str

    def __str__(self):
        return f"{self.path}: {self.value}: {self.rule}"


class InvalidDocument(Exception):
    """A document with one or more problems."""

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("; ".join(str(problem) for problem in self.problems))


class _UniqueKeyLoader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """YAML loader that refuses a mapping with a repeated key.

    Other checks, such as that of implicit timestamps, are those of the safe loader.
    """

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is no text", key_node.start_mark
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is repeated", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


# Maximum length of a value in a message.
MAX_SHORT_REPR_CHARS = 60


def short_repr(value):
    """Returns the truncated representation of a value for messages."""
    try:
        text = repr(value)
    except RecursionError:
        text = f"{type(value).__name__} that is nested too deeply"
    return (
        text
        if len(text) <= MAX_SHORT_REPR_CHARS
        else text[: MAX_SHORT_REPR_CHARS - 3] + "..."
    )


def parse_document(text):
    """Parses a YAML or JSON document into plain data. Raises InvalidDocument.

    JSON has its own, much faster decoder: a document of 15,000 adapters takes
    milliseconds instead of seconds.
    """
    if isinstance(text, str):
        text = text.encode()
    data = _parse_yaml_or_json(text)
    try:
        msgspec.msgpack.encode(data)
    except (OverflowError, RecursionError, TypeError) as error:
        # Such a document could not be passed on to other daemons either.
        raise InvalidDocument([Problem("", "", f"not plain data: {error}")]) from None
    return data


def _parse_yaml_or_json(text):
    if text.lstrip()[:1] == b"{":
        try:
            return msgspec.json.decode(text)
        except (msgspec.DecodeError, RecursionError):
            # A YAML flow mapping can also start with a brace.
            pass
    try:
        return yaml.load(text, Loader=_UniqueKeyLoader)
    except (yaml.YAMLError, TypeError, ValueError, RecursionError) as error:
        detail = " ".join(str(error).split())
        raise InvalidDocument([Problem("", "", f"not valid YAML: {detail}")]) from None


def check_struct(struct_type, data, path, problems):
    """Returns an instance of ``struct_type``, or None after adding to ``problems``."""
    if not isinstance(data, dict):
        problems.append(
            Problem(path or "document", short_repr(data), "must be a mapping")
        )
        return None
    initial_problem_count = len(problems)
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    for name in data:
        if name not in fields:
            known_fields = ", ".join(sorted(fields))
            problems.append(
                Problem(
                    _join(path, name),
                    short_repr(data[name]),
                    f"unknown field; {known_fields}",
                )
            )
    values = {}
    for name, field in fields.items():
        if name in data:
            values[field.name] = _check_value(
                field.type, data[name], _join(path, name), problems
            )
        elif field.required:
            problems.append(Problem(_join(path, name), "missing", "is required"))
    if len(problems) > initial_problem_count:
        return None
    return struct_type(**values)


def _join(path, name):
    return f"{path}.{name}" if path else str(name)


def _check_value(value_type, value, path, problems):
    struct_type = struct_type_of(value_type)
    if struct_type is not None:
        if value is None and _is_optional(value_type):
            return None
        return check_struct(struct_type, value, path, problems)
    item_type = struct_item_type_of(value_type)
    if item_type is not None:
        if not isinstance(value, list):
            problems.append(Problem(path, short_repr(value), "must be a list"))
            return ()
        return tuple(
            check_struct(item_type, item, f"{path}[{index}]", problems)
            for index, item in enumerate(value)
        )
    try:
        return msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        problems.append(Problem(path, short_repr(value), str(error)))
        return None


def _is_optional(value_type):
    return type(None) in typing.get_args(value_type)


def struct_type_of(value_type):
    """Returns the struct type of an annotation, which may be optional, or None."""
    candidates = [value_type]
    if typing.get_origin(value_type) in (typing.Union, types.UnionType):
        candidates = typing.get_args(value_type)
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def struct_item_type_of(value_type):
    """Returns the struct type of the items of a tuple annotation, or None."""
    if typing.get_origin(value_type) is not tuple:
        return None
    return struct_type_of(typing.get_args(value_type)[0])
