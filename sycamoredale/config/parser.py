"""Parse a YAML configuration file."""

from sycamoredale.config import checks
from sycamoredale.config import findings
from sycamoredale.config import model
from sycamoredale.config import reader


def parse(text: bytes, file: str = "configuration") -> model.Configuration:
    """Return the configuration that YAML text describes.

    `file` is the file name for messages. Raises findings.InvalidFile with
    all findings.
    """
    configuration, document = reader.read(text)
    all_findings = [*document.reported_findings, *checks.check(document)]
    if all_findings or configuration is None:
        raise findings.InvalidFile(file, all_findings)
    return configuration
