"""A group is opened again though its members were ordered into another one.

A member of a group is out of reach of the daemons for a moment, so that its
head is closed.  The head is ordered into another group; the order is not
answered and carried out some seconds later.  Then the member is back.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import replica  # noqa: E402
import site_2 as site_module  # noqa: E402

SERVICE = "sycamore-pool"
MODEL = replica.Model("rada7437b5", 3, 12.0, 1.1)
NAMES = [f"i-{number:02x}4c{number:02x}09fe" for number in range(1, 13)]
LATE_SECONDS = 5.0
MAX_CUT_SECONDS = 5.0


async def case(site: site_module.Site) -> None:
    """Play the case on three daemons and twelve replicas of three domains."""
    fleet = replica.Fleet(site.store, site.recorder, SERVICE, [MODEL])
    site.broken_rules = fleet.broken_rules
    model = {
        "name": MODEL.name,
        "size": MODEL.size,
        "share": 1.0,
        "pace": 1.0,
        "load_s": MODEL.load_seconds,
        "warm_s": MODEL.warm_seconds,
    }
    await site.store.put(
        "config", "main", site_module.manifest(SERVICE, [model])
    )
    await site.start_daemons(3)
    for index, name in enumerate(NAMES):
        zone = site_module.ZONES[index % 3]
        added = replica.Replica(fleet, name, zone, f"d{index % 3}")
        await added.start("127.0.0.1")
    heads = await replica.wait_for_open(fleet, 3)
    fleet.has_traffic = True
    site.spawn(site.send_streams(MODEL.name, 8.0))
    # The spare of each domain gets the model as well.
    for _ in range(300):
        if all(r.staged for r in fleet.by_id.values()):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    if site.trouble:
        await disturb(fleet, heads[0])
    await asyncio.sleep(LATE_SECONDS + 3.0)
    if not fleet.runs:
        raise OSError("no request has run")


async def disturb(fleet: replica.Fleet, head: replica.Replica) -> None:
    """Cut a member off until the members have been ordered elsewhere."""
    assert head.group is not None
    stay, lost = (fleet.by_id[name] for name in head.group.members[1:])
    head.late_seconds = stay.late_seconds = LATE_SECONDS
    lost.cut(from_store=False)
    waiting = [asyncio.create_task(r.took_late.wait()) for r in (head, stay)]
    await asyncio.wait(waiting, timeout=MAX_CUT_SECONDS)
    head.late_seconds = stay.late_seconds = 0.0
    lost.heal()


if __name__ == "__main__":
    site_module.run(case, FOLDER / "record.txt")
