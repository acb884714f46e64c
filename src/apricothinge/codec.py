"""Reading and writing of JSON files with errors that name the field."""

import json
import pathlib
from typing import Any, TypeVar

import msgspec

from apricothinge import errors

__all__ = ["decode", "encode_with_field_names", "read_file"]

_T = TypeVar("_T")


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} stands twice in one object")
        result[name] = value
    return result


def decode(content: bytes, schema: type[_T], kind: errors.Kind,
           name: str) -> _T:
    """Decodes and validates a JSON document.

    Args:
        content: The document in UTF-8.
        schema: A msgspec Struct that forbids unknown fields.
        kind: The error kind to raise.
        name: What the document is called in errors, for example a path.

    Returns:
        The decoded document.

    Raises:
        errors.ApricothingeError: The document is not JSON, holds a name
            twice, or breaks the schema; the detail gives the field's path.
    """
    try:
        # msgspec keeps the last of two equal names, so json reads first.
        decoded = json.loads(content, object_pairs_hook=_reject_duplicate_names)
        return msgspec.convert(decoded, schema)
    except msgspec.ValidationError as error:
        raise errors.ApricothingeError(kind, f"{name}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise errors.ApricothingeError(kind,
                                       f"{name}: not JSON: {error}") from None


def read_file(path: pathlib.Path, schema: type[_T], kind: errors.Kind) -> _T:
    """Reads and validates a JSON file; errors as in `decode`."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.ApricothingeError(kind,
                                       f"{path}: {error.strerror}") from None
    return decode(content, schema, kind, str(path))


def encode_with_field_names(value: object) -> bytes:
    """Encodes a value as JSON, with the name of each field.

    Messages are arrays on the wire; a person needs the names.
    """
    return msgspec.json.encode(_to_builtins(value))


def _to_builtins(value: object) -> object:
    if isinstance(value, msgspec.Struct):
        return {
            name: _to_builtins(getattr(value, name))
            for name in value.__struct_fields__
        }
    if isinstance(value, dict):
        return {name: _to_builtins(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_builtins(item) for item in value]
    return value
