"""Parse the operators' YAML file into a configuration."""

import msgspec

from sycamoredale.config import model
from sycamoredale import error_codes
from sycamoredale import errors


def parse(text: bytes) -> model.Configuration:
    """Return the configuration in YAML text; raise SycamoredaleError."""
    try:
        return msgspec.yaml.decode(text, type=model.Configuration)
    except msgspec.MsgspecError as error:
        raise errors.SycamoredaleError(
            error_codes.INVALID_CONFIGURATION, str(error)
        ) from error
