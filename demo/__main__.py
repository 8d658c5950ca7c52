"""Run a small deployment on stand-ins, kill a router and report.

Two routers and a controller serve six engines in three availability zones
and two ledgers.  One router is killed during chat calls and withdrawals;
afterwards one withdrawal is repeated with its idempotency key.
"""

import collections
import concurrent.futures
import json
import pathlib
import sys
import time
from typing import Final

import msgspec

from demo import client
from sycamoredale.standins import generation
from tests import processes

CONFIGURATION_FILE: Final = (
    pathlib.Path(__file__).parent.parent / "examples" / "demo.yaml"
)
ZONES: Final = ("kochi", "thrissur", "kozhikode")
ENGINES_PER_ZONE: Final = 2
CHAT_COUNT: Final = 24
WITHDRAWAL_COUNT: Final = 8
TOKENS_PER_CHAT: Final = 60
EXPECTED_ENDPOINTS: Final = 5


def main() -> int:
    """Run the demo and return the exit status."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        ledgers = _start_endpoints(fleet, platform)
        _apply_configuration(fleet, platform)
        routers = [
            fleet.start_router(f"router-{n}", ZONES[n], platform.address)
            for n in (1, 2)
        ]
        fleet.start_controller("controller-1", ZONES[0], platform.address)
        for router in routers:
            _wait_for_endpoints(router)
        return _run_workload(routers, ledgers)


def _start_endpoints(
    fleet: processes.Fleet, platform: processes.Process
) -> list[processes.Process]:
    entries = []
    for zone in ZONES:
        for number in range(ENGINES_PER_ZONE):
            name = f"{zone}-{number}"
            settings = json.dumps({"instance": name, "cold_limit": 4})
            engine = fleet.start_standin("engine", "--settings", settings)
            entries.append(_list_entry(name, engine, zone, "engine"))
    ledgers = []
    for number, zone in enumerate(ZONES[:2]):
        ledger = fleet.start_standin("ledger")
        ledgers.append(ledger)
        name = f"ledger-{number}"
        entries.append(_list_entry(name, ledger, zone, "bookings"))
    processes.request(platform.address, "PUT", "/standin/instances", entries)
    print(f"started {len(entries)} endpoint instances in {len(ZONES)} zones")
    return ledgers


def _list_entry(
    name: str, process: processes.Process, zone: str, runs: str
) -> dict[str, str]:
    return {
        "id": name,
        "address": process.address,
        "zone": zone,
        "domain": f"{zone}-fabric",
        "runs": runs,
    }


def _apply_configuration(
    fleet: processes.Fleet, platform: processes.Process
) -> None:
    applied = fleet.start(
        "sycamoredale",
        "apply",
        str(CONFIGURATION_FILE),
        "--platform",
        platform.address,
    )
    output, _ = applied.popen.communicate(timeout=20)
    print(f"apply {CONFIGURATION_FILE.name}: {output.strip()}")


def _wait_for_endpoints(router: processes.Process) -> None:
    processes.wait_for(
        lambda: processes.request(router.address, "GET", "/healthz").json()[
            "endpoints"
        ]
        >= EXPECTED_ENDPOINTS
    )


def _run_workload(
    routers: list[processes.Process], ledgers: list[processes.Process]
) -> int:
    failover_client = client.FailoverClient(
        [router.address for router in routers]
    )
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        chats = [
            pool.submit(failover_client.chat, f"question {n}", TOKENS_PER_CHAT)
            for n in range(CHAT_COUNT)
        ]
        bookings = [
            pool.submit(failover_client.withdraw, n, f"withdrawal-{n}")
            for n in range(WITHDRAWAL_COUNT)
        ]
        time.sleep(0.5)
        routers[0].kill()
        print("killed router-1 during the calls")
        chat_answers = [chat.result() for chat in chats]
        booking_answers = [booking.result() for booking in bookings]
    repeated = failover_client.withdraw(0, "withdrawal-0")
    return _report_results(chat_answers, booking_answers, repeated, ledgers)


def _report_results(
    chat_answers: list[client.Answer],
    booking_answers: list[client.Answer],
    repeated: client.Answer,
    ledgers: list[processes.Process],
) -> int:
    complete_count = sum(
        answer.status == 200 and answer.text() == _expected_text(number)
        for number, answer in enumerate(chat_answers)
    )
    retried_count = sum(answer.attempts > 1 for answer in chat_answers)
    executions: collections.Counter[str] = collections.Counter()
    for ledger in ledgers:
        counts = processes.request(
            ledger.address, "GET", "/standin/executions"
        ).json()
        executions.update(counts)
    max_executions = max(executions.values(), default=0)
    statuses = collections.Counter(answer.status for answer in booking_answers)
    print(
        f"chat calls: {len(chat_answers)} sent, "
        f"{complete_count} complete answers"
    )
    print(f"  of these {retried_count} were retried after the kill")
    print(
        f"withdrawals: {len(booking_answers)} sent, statuses {dict(statuses)}"
    )
    print(f"  maximum executions per key in the ledgers: {max_executions}")
    print(f"withdrawal-0 repeated: status {repeated.status}")
    confirmed = all(
        executions[f"withdrawal-{number}"] == 1
        for number, answer in enumerate(booking_answers)
        if answer.status == 200
    )
    succeeded = (
        complete_count == len(chat_answers)
        and max_executions <= 1
        and confirmed
    )
    print("the demo succeeded" if succeeded else "the demo FAILED")
    return 0 if succeeded else 1


def _expected_text(number: int) -> str:
    prompt = {
        "model": "assistant",
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": TOKENS_PER_CHAT,
        "stream": True,
    }
    return generation.expected_text(
        msgspec.convert(prompt, generation.CompletionRequest)
    )


if __name__ == "__main__":
    sys.exit(main())
