"""API keys: generation, hashing, and extraction from requests."""

import base64
import binascii
import hashlib
import secrets
from typing import Final
import urllib.parse

from apricothinge import errors

__all__ = ["INTERNAL_PREFIX", "extract", "hash_key", "new_key"]

INTERNAL_PREFIX: Final = b"apricothinge-"

_HASH_PREFIX: Final = "sha256:"
_KEY_BYTES: Final = 24
_QUERY_NAME: Final = "key"
_KEY_HEADERS: Final = frozenset((b"authorization", b"x-api-key"))

Headers = list[tuple[bytes, bytes]]


def new_key() -> str:
    """Generates a random key that needs no escaping in headers and queries."""
    return secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Hashes a key in the form stored in organisations.json."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape"))
    return _HASH_PREFIX + digest.hexdigest()


def _parse_authorization(value: str) -> list[str]:
    scheme, _, credentials = value.strip().partition(" ")
    credentials = credentials.strip()
    if not credentials:
        return [scheme] if scheme else []
    if scheme.lower() != "basic":
        return [credentials]
    try:
        decoded = base64.b64decode(credentials, validate=True).decode()
    except (binascii.Error, UnicodeDecodeError):
        return []
    user, _, password = decoded.partition(":")
    return [part for part in (password or user,) if part]


def _remove_query_keys(target: str) -> tuple[str, list[str]]:
    path, separator, query = target.partition("?")
    if not separator:
        return target, []
    remaining = []
    query_keys = []
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if urllib.parse.unquote_plus(name).lower() == _QUERY_NAME:
            query_keys.append(urllib.parse.unquote_plus(value))
            continue
        remaining.append(pair)
    return (f"{path}?{'&'.join(remaining)}" if remaining else path), query_keys


def extract(target: str, headers: Headers) -> tuple[str | None, str, Headers]:
    """Extracts the key from the request of a caller.

    The key may be in the Authorization header, the X-Api-Key header or the
    query. It is removed together with internal headers and with any header
    whose value contains the key, such as Referer.

    Args:
        target: Request target with path and query.
        headers: Pairs of lower-case name and value.

    Returns:
        The key or None, and the target and headers without the key.

    Raises:
        errors.CallError: MALFORMED_REQUEST; the request contains different keys,
            or its target still contains the key.
    """
    target, candidates = _remove_query_keys(target)
    remaining: Headers = []
    for name, value in headers:
        if name.startswith(INTERNAL_PREFIX):
            continue
        if name not in _KEY_HEADERS:
            remaining.append((name, value))
            continue
        text = value.decode("latin-1")
        candidates += (_parse_authorization(text)
                       if name == b"authorization" else [text.strip()])
    distinct_keys = {key for key in candidates if key}
    if not distinct_keys:
        return None, target, remaining
    if len(distinct_keys) > 1:
        raise errors.CallError(errors.Kind.MALFORMED_REQUEST,
                               "the request contains more than one key")
    key = distinct_keys.pop()
    key_bytes = key.encode("utf-8", "surrogateescape")
    remaining = [
        (name, value) for name, value in remaining if key_bytes not in value
    ]
    if key in target or key in urllib.parse.unquote(target):
        raise errors.CallError(
            errors.Kind.MALFORMED_REQUEST,
            "the key also occurs in the rest of the request target")
    return key, target, remaining
