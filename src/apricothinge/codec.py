"""JSON decoding and encoding, with errors that name the invalid field."""

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
            raise ValueError(f"object contains the name {name!r} twice")
        result[name] = value
    return result


def decode(content: bytes, schema: type[_T], kind: errors.Kind,
           name: str) -> _T:
    """Decodes and validates a JSON document.

    Args:
        content: The document in UTF-8.
        schema: Struct class that forbids unknown fields.
        kind: Kind of the error to raise.
        name: Name of the document in error messages, such as a path.

    Returns:
        The decoded document.

    Raises:
        errors.ApricothingeError: The document is not JSON, repeats a name
            in an object, or does not match the schema; the detail contains the
            path of the field.
    """
    try:
        # msgspec silently keeps the last of two equal names, so the json module
        # parses the document and detects them.
        decoded = json.loads(content, object_pairs_hook=_reject_duplicate_names)
        return msgspec.convert(decoded, schema)
    except msgspec.ValidationError as error:
        raise errors.ApricothingeError(kind, f"{name}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise errors.ApricothingeError(kind,
                                       f"{name}: not JSON: {error}") from None


def read_file(path: pathlib.Path, schema: type[_T], kind: errors.Kind) -> _T:
    """Reads and validates a JSON file; raises the errors of `decode`."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.ApricothingeError(kind,
                                       f"{path}: {error.strerror}") from None
    return decode(content, schema, kind, str(path))


def encode_with_field_names(value: object) -> bytes:
    """Encodes a value as JSON, with structs as objects.

    Structs that are arrays on the wire get field names too, for readability.
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
