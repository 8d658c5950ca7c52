"""Find the log lines of all daemons that concern one request.

The log lines of a request contain the endpoints that it was sent to and
their groups. Other log lines about these endpoints and groups, such as orders
and state changes, are included from shortly before the first line of the
request to its last one. All lines are sorted by time.
"""

import collections.abc
import dataclasses
import datetime
import json
import re
import typing
from typing import Final

import click

# A lost group is detected, closed and formed again within this time.
LOOKBACK_SECONDS: Final = 5.0
NAME_PATTERN: Final = re.compile(r"[\w-]+(?:\.\d+)?")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Contain one log line; `timestamp` is in seconds since the epoch."""

    timestamp: float
    text: str
    fields: dict[str, typing.Any]


@click.command("trace")
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File())
def trace(request_id: str, logs: tuple[typing.TextIO, ...]) -> None:
    """Show the log lines that explain the outcome of a request.

    LOGS are log files of daemons; lines without JSON are skipped.
    """
    lines = [line for log in logs for line in parse_log(log)]
    related = list(related_lines(request_id, lines))
    if not related:
        raise click.ClickException(
            f"request {request_id!r} is in none of {len(lines)} log lines"
        )
    for line in related:
        click.echo(line.text)


def parse_log(
    log: collections.abc.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Yield the JSON lines of a log; text before an object is skipped."""
    for text in log:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            timestamp = datetime.datetime.fromisoformat(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        yield LogLine(timestamp.timestamp(), text[start:].rstrip(), fields)


def related_lines(
    request_id: str, lines: collections.abc.Sequence[LogLine]
) -> collections.abc.Iterator[LogLine]:
    """Yield lines about a request, its endpoints and groups by time."""
    request_lines = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return
    names = set().union(
        *(_endpoint_and_group_names(line) for line in request_lines)
    )
    first = min(line.timestamp for line in request_lines) - LOOKBACK_SECONDS
    last = max(line.timestamp for line in request_lines)
    for line in sorted(lines, key=lambda line: line.timestamp):
        if line.fields.get("request") == request_id:
            yield line
        elif "request" not in line.fields and first <= line.timestamp <= last:
            if names & set(NAME_PATTERN.findall(line.text)):
                yield line


def _endpoint_and_group_names(line: LogLine) -> set[str]:
    fields = line.fields
    names = {fields.get(name) for name in ("endpoint", "group", "at")}
    names.update(s.partition(":")[0] for s in fields.get("sends", ()))
    return {name for name in names if name}
