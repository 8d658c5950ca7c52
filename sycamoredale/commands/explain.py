"""Define the command that explains where a call would go now."""

import collections.abc
import typing
from typing import Final
import urllib.parse

import click
import curio
import msgspec

from sycamoredale.commands import exit_codes
from sycamoredale.commands import parameters
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import explanation
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.observability import exposition

TIMEOUT_SECONDS: Final = 5.0
HEADER: Final = (
    f"{'endpoint':<24} {'zone':<12} {'subsets':<12} {'load':>7} {'slots':>5} "
    f"{'per slot':>8}  notes"
)


@click.command("explain")
@click.option(
    "--daemon",
    type=parameters.AddressType(),
    required=True,
    envvar="SYCAMOREDALE_DAEMON",
    show_envvar=True,
    help="Address of the metrics of a daemon, such as 10.0.0.1:9464.",
)
@click.option("--service", required=True, help="Name of the service.")
@click.option("--model", help="Model, if the service has an engine.")
@click.option("--route", help="Route; the first one of the service if absent.")
@click.option("--prompt-tokens", type=click.IntRange(0), default=0)
@click.option("--answer-tokens", type=click.IntRange(0), default=0)
@parameters.JSON
def explain(
    daemon: messages.Address, as_json: bool, **question: typing.Any
) -> None:
    """Show where a daemon would send a call now, without sending it."""
    with exit_codes.report_errors(as_json):
        answer = curio.run(ask, daemon, question)
        parameters.print_report(
            answer, "\n".join(format_lines(answer)), as_json
        )


async def ask(
    daemon: messages.Address, question: dict[str, typing.Any]
) -> explanation.Explanation:
    """Return the explanation of a daemon; raise SycamoredaleError."""
    query = urllib.parse.urlencode(
        {name: value for name, value in question.items() if value is not None}
    )
    request = messages.Request("GET", f"{exposition.EXPLANATION_PATH}?{query}")
    pool = client.Pool()
    try:
        response = await pool.call(daemon, request, TIMEOUT_SECONDS)
    finally:
        await pool.close()
    try:
        if response.status == 200:
            return decoding.decode_json(response.body, explanation.Explanation)
        error = decoding.decode_json(response.body, dict[str, typing.Any])
        reason = str(error["error"])
    except (msgspec.DecodeError, KeyError):
        reason = f"{daemon} gave no explanation (status {response.status})"
    raise errors.Refusal(error_codes.MALFORMED_REQUEST, reason)


def format_lines(
    answer: explanation.Explanation,
) -> collections.abc.Iterator[str]:
    """Yield the explanation as lines of text."""
    yield (
        f"route {answer.route}, objective {answer.objective_ms:g} ms, "
        f"zone {answer.own_zone}"
    )
    if answer.leaving_share is None:
        yield "two endpoints are sampled over all zones"
    else:
        yield f"{answer.leaving_share:.0%} of the calls leave the near subset"
    if answer.refusal is not None:
        retry = answer.refusal.retry_after
        after = "" if retry is None else f", retry after {retry:.1f} s"
        yield (
            f"refused: {answer.refusal.code}: {answer.refusal.message}{after}"
        )
    else:
        yield f"would go to {answer.selected}"
    for zone, count in sorted(answer.instances_by_zone_out.items()):
        yield f"zone {zone} is taken out, with {count} instances"
    yield HEADER
    for candidate in sorted(answer.candidates, key=_order):
        yield _format_candidate(candidate)


def _order(candidate: explanation.Candidate) -> tuple[bool, bool, float]:
    is_far = "near" not in candidate.subsets
    return bool(candidate.excluded_by), is_far, candidate.load_per_slot


def _format_candidate(candidate: explanation.Candidate) -> str:
    notes = [f"excluded: {reason}" for reason in candidate.excluded_by]
    notes += ["full"] * candidate.is_full
    if candidate.slowdown > 1.0:
        notes.append(f"slow {candidate.slowdown:.1f} x")
    notes.append("in time" if candidate.is_in_time else "late")
    return (
        f"{candidate.endpoint:<24} {candidate.zone:<12} "
        f"{'+'.join(candidate.subsets) or '-':<12} {candidate.load:>7.1f} "
        f"{candidate.slots:>5} {candidate.load_per_slot:>8.2f}  "
        f"{', '.join(notes)}"
    )
