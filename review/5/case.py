"""Rule DENIED: a common lookup is refused for good after ordinary crashes.

Two replicas crash, one after the other, while they run the same lookup of
one tenant.  Both come back.  The lookup crashes nothing.
"""

import asyncio
import pathlib
import sys
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import http  # noqa: E402
from standins import replicas  # noqa: E402
from standins import site as site_module  # noqa: E402

HOST = "cellar.example"
KEY = "key-concierge"
SERVICE = "cellar-app"
DAEMONS = 3
# On the sheet: 45 ms on the mean, at most 220 ms.
WORK_SECONDS = 0.2
# As long as on the sheet a crashed replica is down.
DOWN_SECONDS = 4.5
CRASHES = 3
MAX_WAIT_SECONDS = 5.0
CALM_SECONDS = 5.0
WATCHED_SECONDS = 30.0
POPULAR = "/stock/vintage-1998"


def manifest():
    """Return the only version of the manifest."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "stock",
                "hostname": HOST,
                "path_prefix": "/stock/",
                "kind": "idempotent",
                "timeout_ms": 1200,
                "slo_ms": 150,
                "priority": 2,
                "backend": SERVICE,
                "max_attempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "tenants": [{"name": "concierge", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 65536,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
    }


async def ask(site, daemon, path, results):
    """Send one lookup, and record its status."""
    attempt = uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline": "2500",
        "Authorization": f"Bearer {KEY}",
    }
    site.note(f"client sends {attempt} to {daemon.name}")
    reply = await http.call(daemon.front, "GET", path, headers, seconds=3.0)
    site.note(f"{daemon.name} answers {attempt} {path}: {reply.status}")
    results.append((path, reply.status))


async def press(site, results):
    """Send about six lookups a second, half of them for one thing."""
    tasks = set()
    try:
        while True:
            for daemon in site.daemons:
                for path in (POPULAR, f"/stock/{uuid.uuid4().hex[:8]}"):
                    tasks.add(
                        asyncio.create_task(ask(site, daemon, path, results))
                    )
                    await asyncio.sleep(0.15)
    except asyncio.CancelledError:
        await asyncio.gather(*tasks)


async def crash_once(site, replica):
    """Crash a replica at work on the popular lookup; it comes back later.

    Nothing crashes if it does not run the lookup within some seconds.
    """
    ends_at = asyncio.get_running_loop().time() + MAX_WAIT_SECONDS
    while POPULAR not in replica.paths_at_work:
        if asyncio.get_running_loop().time() > ends_at:
            site.note(f"{replica.name} is not sent the popular lookup")
            return replica
        await asyncio.sleep(0.01)
    host, _, port = replica.server.address.rpartition(":")
    replica.crash()
    forget = asyncio.create_task(replica.forget())
    await asyncio.sleep(DOWN_SECONDS)
    await forget
    back = replicas.Replica(
        site,
        f"i-{uuid.uuid4().hex[:10]}",
        SERVICE,
        replica.zone,
        WORK_SECONDS,
    )
    await back.start(host, int(port))
    return back


async def main(site):
    """Play the crashes, and count the refusals of proper requests."""
    await site.start_store()
    site.store.write("config", "main", manifest())
    fleet = []
    for zone in site_module.ZONES:
        name = f"i-{uuid.uuid4().hex[:10]}"
        fleet.append(replicas.Replica(site, name, SERVICE, zone, WORK_SECONDS))
        await fleet[-1].start(site.new_host())
    site.start_daemons(DAEMONS)
    await site.wait_ready()
    results = []
    pressing = asyncio.create_task(press(site, results))
    await asyncio.sleep(CALM_SECONDS)
    for number in range(CRASHES):
        if site.trouble:
            index = number % len(fleet)
            fleet[index] = await crash_once(site, fleet[index])
        else:
            await asyncio.sleep(DOWN_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
    site.note("all replicas are back; no more disruption")
    await asyncio.sleep(WATCHED_SECONDS)
    pressing.cancel()
    await pressing
    if any(daemon.has_ended() for daemon in site.daemons):
        raise RuntimeError("a daemon has ended by itself")
    denied = [
        (path, status)
        for path, status in results
        if 300 <= status < 500 and status not in (408, 421, 429)
    ]
    site.note(f"{len(denied)} of {len(results)} requests were denied")
    for status in sorted({status for _, status in results}):
        count = sum(status == s for _, s in results)
        site.note(f"status {status}: {count}")
    if len(denied) <= 5 + len(results) / 500:
        return []
    return [f"{path} was denied with {status}" for path, status in denied]


if __name__ == "__main__":
    site_module.run(main, HERE)
