"""Authenticate operators by keys of their own."""

import hmac

from turmerictally import errors, settings
from turmerictally.config import model

BEARER = "bearer "


def authenticate(config: settings.Settings, header: str) -> str:
    """Return the operator's name; raise ``UNAUTHENTICATED``."""
    if not header.lower().startswith(BEARER):
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    given = model.digest(header[len(BEARER) :].strip())
    found = ""
    for name, known in config.operator_key_hashes.items():
        if hmac.compare_digest(given, known):
            found = name
    if not found:
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    return found
