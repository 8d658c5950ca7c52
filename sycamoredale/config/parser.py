"""Parse the operators' YAML file into a configuration."""

from sycamoredale.config import checks
from sycamoredale.config import findings
from sycamoredale.config import model
from sycamoredale.config import reader


def parse(text: bytes, file: str = "configuration") -> model.Configuration:
    """Return the configuration in YAML text.

    Raises findings.InvalidFile with all findings; `file` names the text.
    """
    configuration, document = reader.read(text)
    found = [*document.found, *checks.check(document)]
    if found or configuration is None:
        raise findings.InvalidFile(file, found)
    return configuration
