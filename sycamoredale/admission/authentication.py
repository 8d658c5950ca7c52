"""Recognise the organisation of a caller by its API key.

Configuration holds only the SHA-256 of each key.  All hashes are compared
in constant time, so that the time taken tells nothing about them.
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
    """Return the organisation of a bearer key; raise Refusal."""
    scheme, _, key = (authorization or "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    found = None
    for organisation in organisations:
        if hmac.compare_digest(digest, organisation.key_sha256):
            found = organisation
    if found is None or scheme.lower() != "bearer":
        raise errors.Refusal(
            error_codes.UNKNOWN_KEY,
            "the Authorization header holds no known API key",
        )
    return found
