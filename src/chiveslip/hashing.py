"""Hash functions: fast ones for placement, cryptographic ones for identity."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import xxhash


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of their rendezvous weight for `key`."""
    return sorted(members, key=lambda m: (score(key, m), m), reverse=True)


def score(key: str, member: str) -> int:
    """Return the rendezvous weight of `member` for `key`, a 64-bit number."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def prefix_keys(base: str, parts: Iterable[str]) -> list[int]:
    """Return a 64-bit key for each part of a sequence with all parts before it."""
    hasher = xxhash.xxh3_64(base.encode())
    keys = []
    for part in parts:
        hasher.update(f"\x00{part}".encode())
        keys.append(hasher.intdigest())
    return keys


def content_hash(content: bytes) -> str:
    """Return the SHA-256 of `content` in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def key_hash(key: str) -> str:
    """Return the hash that identifies a caller's key in the configuration."""
    return content_hash(key.encode())


def fast_hash(content: bytes) -> str:
    """Return a 128-bit, non-cryptographic hash of `content` to compare requests."""
    return xxhash.xxh3_128_hexdigest(content)
