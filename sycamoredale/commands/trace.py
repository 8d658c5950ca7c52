"""Follow one request through the logs of all daemons.

The lines of a request name the endpoints that it was sent to and their
groups.  What was ordered or believed about these shortly before it ended
is shown with them, in the order of time.
"""

import collections.abc
import dataclasses
import datetime
import json
import re
import typing
from typing import Final

import click

# A lost group is noticed, closed and formed again within this time.
BEFORE_SECONDS: Final = 5.0
NAMES: Final = re.compile(r"[\w-]+(?:\.\d+)?")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold one line of a log."""

    at: float
    text: str
    fields: dict[str, typing.Any]


@click.command("trace")
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File())
def trace(request_id: str, logs: tuple[typing.TextIO, ...]) -> None:
    """Show what decided the outcome of a request.

    LOGS are files of daemons; lines that are no JSON are passed over.
    """
    lines = [line for log in logs for line in read(log)]
    found = list(related(request_id, lines))
    if not found:
        raise click.ClickException(
            f"request {request_id!r} stands in none of {len(lines)} lines"
        )
    for line in found:
        click.echo(line.text)


def read(
    log: collections.abc.Iterable[str],
) -> collections.abc.Iterator[Line]:
    """Yield the JSON lines of a log, whatever stands before each object."""
    for text in log:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
            at = datetime.datetime.fromisoformat(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        yield Line(at.timestamp(), text[begin:].rstrip(), fields)


def related(
    request_id: str, lines: collections.abc.Sequence[Line]
) -> collections.abc.Iterator[Line]:
    """Yield the lines of a request and of its endpoints, oldest first."""
    own = [ln for ln in lines if ln.fields.get("request") == request_id]
    if not own:
        return
    names = set().union(*(_names(line) for line in own))
    first = min(line.at for line in own) - BEFORE_SECONDS
    last = max(line.at for line in own)
    for line in sorted(lines, key=lambda ln: ln.at):
        if line.fields.get("request") == request_id:
            yield line
        elif "request" not in line.fields and first <= line.at <= last:
            if names & set(NAMES.findall(line.text)):
                yield line


def _names(line: Line) -> set[str]:
    fields = line.fields
    names = {fields.get(name) for name in ("endpoint", "group", "at")}
    names.update(s.partition(":")[0] for s in fields.get("sends", ()))
    return {name for name in names if name}
