"""Rendezvous hashing: chooses the candidate responsible for a key."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar("Name", bound=str)


def rendezvous(key: str, candidates: Iterable[Name]) -> Name | None:
    """Returns the candidate responsible for a key, or None if there is none.

    Adding or removing a candidate moves only the keys of that candidate.
    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
    Rendezvous" (1996).
    """
    return max(candidates, key=lambda each: _weight(key, each), default=None)


def _weight(key: str, candidate: str) -> tuple[int, str]:
    data = f"{key}\0{candidate}".encode()
    return xxhash.xxh3_64_intdigest(data), candidate
