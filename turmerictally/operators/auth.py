"""Authenticate operators by operator keys, which are separate from team keys."""

import hmac

from turmerictally import errors, settings
from turmerictally.config import model

BEARER = "bearer "


def authenticate(config: settings.Settings, header: str) -> str:
    """Return the operator's name; raise ``UNAUTHENTICATED`` without a valid key."""
    if not header.lower().startswith(BEARER):
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    key_hash = model.digest(header[len(BEARER) :].strip())
    operator = ""
    for name, operator_key_hash in config.operator_key_hashes.items():
        if hmac.compare_digest(key_hash, operator_key_hash):
            operator = name
    if not operator:
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    return operator
