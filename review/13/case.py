"""A rolling restart makes the fleet forget which request crashes replicas.

One request crashes each replica that begins to run it. It comes again every
0.8 s, with the same path, caller and body, at any machine that is ready.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import deployment  # noqa: E402

DAEMONS = 7
CONTACT_S = 3.0
FIRST_PHASE_S = 10.0
ROLL_GAP_S = 6.0
COMES_AGAIN_S = 0.8
LAST_PHASE_S = 10.0
TARGET = "/book/order-17"
BODY = b'{"bottle": 17}'
MAX_RETRIES = 3


async def play(site):
    rng = random.Random()
    arrivals = []

    def on_run(replica, request):
        if request.target != TARGET:
            return 0.03
        by_id[request.attempt].append(time.monotonic())
        arrivals.append((time.monotonic(), request.attempt))
        return None

    for replica in site.replicas:
        replica.on_run = on_run
    by_id = {}
    daemon_by_id = {}
    statuses = []

    async def comes_again():
        turn = 0
        while True:
            ready = site.ready_daemons()
            turn = (turn + 1) % len(site.daemons)
            if ready:
                # The machines in turn, but for those that are not ready.
                in_turn = site.daemons[turn:] + site.daemons[:turn]
                daemon = next(d for d in in_turn if d in ready)
                # The id is known before the request can arrive.
                attempt = site.attempt_id()
                by_id[attempt] = []
                daemon_by_id[attempt] = daemon, daemon.calm_since
                site.record.write("send", attempt, daemon.name, TARGET)
                try:
                    answer = await deployment.call(
                        daemon.host,
                        site.front,
                        "POST",
                        TARGET,
                        [
                            ("Host", "app.example"),
                            ("Attempt-Id", attempt),
                            ("Request-Deadline", "2500"),
                            ("Authorization", "Bearer key-a"),
                        ],
                        BODY,
                        3.5,
                    )
                    status = answer.status
                except (
                    OSError,
                    asyncio.TimeoutError,
                    asyncio.IncompleteReadError,
                ) as error:
                    status = repr(error)
                statuses.append(status)
                site.record.write("answer", attempt, daemon.name, status)
            await asyncio.sleep(COMES_AGAIN_S)

    async def others():
        """Sound requests, all different."""
        count = 0
        while True:
            await asyncio.sleep(0.1)
            ready = site.ready_daemons()
            if ready:
                count += 1
                asyncio.ensure_future(
                    site.request(
                        rng.choice(ready),
                        "GET",
                        f"/look/thing-{count}",
                        key="key-b",
                    )
                )

    tasks = [asyncio.ensure_future(t()) for t in (comes_again, others)]
    await asyncio.sleep(FIRST_PHASE_S)
    if deployment.TROUBLE:
        for daemon in site.daemons:
            daemon.send_signal(signal.SIGTERM)
            await daemon.wait_exit(8.0)
            daemon.start()
            until = time.monotonic() + 10
            while not daemon.in_rotation and time.monotonic() < until:
                await asyncio.sleep(0.05)
            await asyncio.sleep(ROLL_GAP_S)
    else:
        await asyncio.sleep(DAEMONS * 10.0)
    await asyncio.sleep(LAST_PHASE_S)
    for task in tasks:
        task.cancel()

    arrivals.sort()
    site.record.say("arrivals of the request at replicas:", len(arrivals))
    late = []
    if len(arrivals) >= 3:
        third_at = arrivals[2][0]
        for at, attempt in arrivals[3:]:
            daemon, calm_since = daemon_by_id[attempt]
            if at <= third_at + CONTACT_S:
                continue
            if at - calm_since < CONTACT_S or daemon.calm_since > at:
                continue  # The machine was not in touch.
            late.append(attempt)
            site.record.write("late retry", attempt, daemon.name)
    site.record.say(
        f"retries later than {CONTACT_S:g} s after the third crash, from",
        f"machines in touch: {len(late)} (allowed: {MAX_RETRIES})",
    )
    return len(late) > MAX_RETRIES


if __name__ == "__main__":
    deployment.main(play, deployment.Site(HERE, daemons=DAEMONS, replicas=3))
