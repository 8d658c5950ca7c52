"""Authenticate callers by their API key.

The configuration contains only the SHA-256 of each key.  A key is compared
with all hashes, each in constant time, to prevent timing attacks.
"""

import collections.abc
import hashlib
import hmac

from sycamoredale.config import model
from sycamoredale import error_codes
from sycamoredale import errors


def authenticate(
    organisations: collections.abc.Iterable[model.Organisation],
    authorization: str | None,
) -> model.Organisation:
    """Return the organisation of a bearer key; raise Refusal if unknown."""
    scheme, _, key = (authorization or "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    found = None
    for organisation in organisations:
        if hmac.compare_digest(digest, organisation.key_sha256):
            found = organisation
    if found is None or scheme.lower() != "bearer":
        raise errors.Refusal(
            error_codes.UNKNOWN_KEY,
            "the Authorization header contains no known API key",
        )
    return found
