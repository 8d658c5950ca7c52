"""A lease term that the owner resumes gives its group epochs out again.

The owner of the lease does not hear the store for 1.3 s, from the arrival of a
renewal on; with CUT=any for 1.9 s, from any time on.  Later a replica is added
and the head of a group is lost, so that a group is formed.
"""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import replica  # noqa: E402
import site_2 as site_module  # noqa: E402

SERVICE = "sycamore-pool"
MODEL = replica.Model("rada7437b5", 3, 12.0, 1.1)
CUT_SECONDS = 1.3
CUT_SECONDS_AT_ANY_TIME = 1.9
RENEWAL_SECONDS = 1.2
HOSTS = [f"i-{number}0aa{number}1f" for number in range(1, 7)]
ADDED = "i-00c497f048"


async def case(site: site_module.Site) -> None:
    """Play the case on three daemons and six replicas of one domain."""
    fleet = replica.Fleet(site.store, site.recorder, SERVICE, [MODEL])
    site.broken_rules = fleet.broken_rules
    await site.store.put(
        "config",
        "main",
        site_module.manifest(
            SERVICE,
            [
                {
                    "name": MODEL.name,
                    "size": MODEL.size,
                    "share": 1.0,
                    "pace": 1.0,
                    "load_s": MODEL.load_seconds,
                    "warm_s": MODEL.warm_seconds,
                }
            ],
        ),
    )
    renewals: asyncio.Queue[asyncio.Future[None]] = asyncio.Queue()
    at_any_time = os.environ.get("CUT") == "any"

    def cut_path(daemon: str) -> None:
        site.store.path_by_daemon[daemon].answers_pass.clear()
        site.recorder.write("path_cut", daemon=daemon)

    def on_write(daemon: str, kind: str, name: str) -> None:
        if kind == "lease" and not renewals.empty():
            if not at_any_time:
                cut_path(daemon)
            renewals.get_nowait().set_result(daemon)

    site.store.on_write.append(on_write)
    await site.start_daemons(3)
    for name in HOSTS:
        await add(fleet, name)
    await replica.wait_for_open(fleet, 2)
    fleet.has_traffic = True
    site.spawn(site.send_streams(MODEL.name, 8.0))
    await asyncio.sleep(4.0)
    if site.trouble:
        renewed = asyncio.get_running_loop().create_future()
        renewals.put_nowait(renewed)
        daemon = await renewed
        seconds = CUT_SECONDS
        if at_any_time:
            await asyncio.sleep(random.uniform(0.0, RENEWAL_SECONDS))
            cut_path(daemon)
            seconds = CUT_SECONDS_AT_ANY_TIME
        await asyncio.sleep(seconds)
        site.store.path_by_daemon[daemon].answers_pass.set()
        site.recorder.write("path_healed", daemon=daemon)
    await asyncio.sleep(3.0)
    added = await add(fleet, ADDED)
    for _ in range(400):
        if added.staged:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    heads = [
        r for r in fleet.by_id.values() if r.group and r.group.state == "open"
    ]
    # The head of the group that was formed last.
    head = max(heads, key=lambda r: r.group.epoch if r.group else 0)
    head.crash()
    await asyncio.sleep(18.0)
    if not fleet.runs:
        raise OSError("no request has run")


async def add(fleet: replica.Fleet, name: str) -> replica.Replica:
    """Start a replica in the only domain."""
    added = replica.Replica(fleet, name, "central-a", "d0")
    await added.start("127.0.0.1")
    return added


if __name__ == "__main__":
    site_module.run(case, FOLDER / "record.txt")
