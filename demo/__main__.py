"""Run a small site on stand-ins, use it, break it and sum up.

Two routers and a controller serve six engines in three availability zones
and two ledgers.  Chat calls and withdrawals run while one router is
killed; then one withdrawal is sent again under its key.
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

FILE: Final = pathlib.Path(__file__).parent.parent / "examples" / "demo.yaml"
ZONES: Final = ("kochi", "thrissur", "kozhikode")
MEMBERS: Final = 2
CHATS: Final = 24
WITHDRAWALS: Final = 8
TOKENS: Final = 60
ENDPOINTS: Final = 5


def main() -> int:
    """Run the demo and return the exit status."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        ledgers = _start_endpoints(fleet, platform)
        _apply(fleet, platform)
        routers = [
            fleet.start_router(f"router-{n}", ZONES[n], platform.address)
            for n in (1, 2)
        ]
        fleet.start_controller("controller-1", ZONES[0], platform.address)
        for router in routers:
            _wait_for_endpoints(router)
        return _use(routers, ledgers)


def _start_endpoints(
    fleet: processes.Fleet, platform: processes.Process
) -> list[processes.Process]:
    listed = []
    for zone in ZONES:
        for number in range(MEMBERS):
            name = f"{zone}-{number}"
            settings = json.dumps({"instance": name, "cold_limit": 4})
            engine = fleet.start_standin("engine", "--settings", settings)
            listed.append(_instance(name, engine, zone, "engine"))
    ledgers = []
    for number, zone in enumerate(ZONES[:2]):
        ledger = fleet.start_standin("ledger")
        ledgers.append(ledger)
        name = f"ledger-{number}"
        listed.append(_instance(name, ledger, zone, "bookings"))
    processes.request(platform.address, "PUT", "/standin/instances", listed)
    print(f"started {len(listed)} endpoint instances in {len(ZONES)} zones")
    return ledgers


def _instance(
    name: str, process: processes.Process, zone: str, runs: str
) -> dict[str, str]:
    return {
        "id": name,
        "address": process.address,
        "zone": zone,
        "domain": f"{zone}-fabric",
        "runs": runs,
    }


def _apply(fleet: processes.Fleet, platform: processes.Process) -> None:
    applied = fleet.start(
        "sycamoredale", "apply", str(FILE), "--platform", platform.address
    )
    output, _ = applied.popen.communicate(timeout=20)
    print(f"apply {FILE.name}: {output.strip()}")


def _wait_for_endpoints(router: processes.Process) -> None:
    processes.wait_for(
        lambda: processes.request(router.address, "GET", "/healthz").json()[
            "endpoints"
        ]
        >= ENDPOINTS
    )


def _use(
    routers: list[processes.Process], ledgers: list[processes.Process]
) -> int:
    balancer = client.Balancer([r.address for r in routers])
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        chats = [
            pool.submit(balancer.chat, f"question {n}", TOKENS)
            for n in range(CHATS)
        ]
        bookings = [
            pool.submit(balancer.withdraw, n, f"withdrawal-{n}")
            for n in range(WITHDRAWALS)
        ]
        time.sleep(0.5)
        routers[0].kill()
        print("killed router-1 while it was serving")
        answers = [chat.result() for chat in chats]
        booked = [booking.result() for booking in bookings]
    again = balancer.withdraw(0, "withdrawal-0")
    return _sum_up(answers, booked, again, ledgers)


def _sum_up(
    answers: list[client.Answer],
    booked: list[client.Answer],
    again: client.Answer,
    ledgers: list[processes.Process],
) -> int:
    whole = sum(
        answer.status == 200 and answer.text() == _expected(number)
        for number, answer in enumerate(answers)
    )
    retried = sum(answer.tries > 1 for answer in answers)
    executions: collections.Counter[str] = collections.Counter()
    for ledger in ledgers:
        counted = processes.request(
            ledger.address, "GET", "/standin/executions"
        ).json()
        executions.update(counted)
    most = max(executions.values(), default=0)
    statuses = collections.Counter(b.status for b in booked)
    print(f"chat calls: {len(answers)} asked, {whole} answered whole")
    print(f"  of these {retried} were sent again after the kill")
    print(f"withdrawals: {len(booked)} asked, statuses {dict(statuses)}")
    print(f"  most executions of one key in the ledgers: {most}")
    print(f"withdrawal-0 sent again: status {again.status}")
    confirmed = all(
        executions[f"withdrawal-{number}"] == 1
        for number, answer in enumerate(booked)
        if answer.status == 200
    )
    good = whole == len(answers) and most <= 1 and confirmed
    print("the demo ended well" if good else "the demo FAILED")
    return 0 if good else 1


def _expected(number: int) -> str:
    prompt = {
        "model": "assistant",
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    return generation.expected_text(
        msgspec.convert(prompt, generation.CompletionRequest)
    )


if __name__ == "__main__":
    sys.exit(main())
