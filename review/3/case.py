"""Rule CONFIG: a manifest that follows the store's drill is not taken up.

The store is away for half a second and comes back from a copy that is nine
seconds old.  Three seconds later the operator withdraws a key and moves a
route.
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
KEPT_KEY, WITHDRAWN_KEY = "key-concierge", "key-withdrawn"
DAEMONS = 5
COPY_AGE_SECONDS = 9.0
AWAY_SECONDS = 0.5
# Between the return of the store and the next version.
CALM_SECONDS = 3.0
# RULES.md: machines are in touch `contact_ms` after the disruption, and a
# version is in force `config_apply_ms` after its confirmation.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 2.0
WATCHED_SECONDS = 30.0


def manifest(version):
    """Return version 1, or version 2 without a key and with a moved route."""
    keys = [KEPT_KEY] + ([WITHDRAWN_KEY] if version == 1 else [])
    route = {
        "hostname": HOST,
        "kind": "idempotent",
        "timeout_ms": 1200,
        "slo_ms": 150,
        "priority": 2,
        "max_attempts": 2,
        "public": False,
    }
    service = {
        "health_path": "/healthz",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": [
            {**route, "name": "stock", "path_prefix": "/stock/"}
            | {"backend": "cellar-app" if version == 1 else "cellar-next"},
        ],
        "services": [
            {**service, "name": "cellar-app"},
            {**service, "name": "cellar-next"},
        ],
        "tenants": [{"name": "concierge", "api_keys": keys}],
        "limits": {
            "max_header_bytes": 65536,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
    }


async def ask(site, daemon, key):
    """Send one lookup; return its attempt id and the status."""
    attempt = uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline": "2500",
        "Authorization": f"Bearer {key}",
    }
    site.note(f"client sends {attempt} to {daemon.name}")
    reply = await http.call(
        daemon.front, "GET", f"/stock/{attempt}", headers, seconds=3.0
    )
    site.note(f"{daemon.name} answers {attempt} with {key}: {reply.status}")
    return attempt, reply.status


async def main(site):
    """Play the drill, and return what older versions alone allow."""
    store = site.store
    await site.start_store()
    store.write("config", "main", manifest(1))
    old, new = [], []
    for zone in site_module.ZONES:
        for found, service in ((old, "cellar-app"), (new, "cellar-next")):
            replica = replicas.Replica(
                site, f"i-{uuid.uuid4().hex[:10]}", service, zone
            )
            await replica.start(site.new_host())
            found.append(replica)
    site.start_daemons(DAEMONS)
    await site.wait_ready()
    await asyncio.sleep(5.0)
    saved = store.take_copy()
    site.note(f"the copy is taken at revision {store.rev}")
    await asyncio.sleep(COPY_AGE_SECONDS)
    if site.trouble:
        site.note(f"the store is away at revision {store.rev}")
        await store.roll_back(saved, AWAY_SECONDS)
        # The operator and the replicas write again what they had written.
        store.write("config", "main", manifest(1))
        for replica in old + new:
            replica.register()
        site.note(f"the store is back at revision {store.rev}")
    back_at = asyncio.get_running_loop().time()
    await asyncio.sleep(CALM_SECONDS)
    rev = store.write("config", "main", manifest(2))
    confirmed_at = asyncio.get_running_loop().time()
    site.note(f"version 2 is confirmed at revision {rev}")
    due_at = max(back_at + CONTACT_SECONDS, confirmed_at + APPLY_SECONDS)
    await asyncio.sleep(due_at + 0.2 - asyncio.get_running_loop().time())
    site.note("version 2 has to be in force everywhere from here on")
    breaks = []
    ends_at = due_at + WATCHED_SECONDS
    while asyncio.get_running_loop().time() < ends_at:
        for daemon in site.daemons:
            if daemon.has_ended():
                breaks.append(f"{daemon.name} has ended by itself")
                return breaks
            withdrawn, status = await ask(site, daemon, WITHDRAWN_KEY)
            if any(withdrawn in r.ran for r in old + new):
                breaks.append(
                    f"{daemon.name} passed on {withdrawn} with the withdrawn "
                    f"key (status {status})"
                )
            kept, status = await ask(site, daemon, KEPT_KEY)
            if any(kept in r.ran for r in old):
                breaks.append(
                    f"{daemon.name} sent {kept} to the service that the "
                    f"route has left (status {status})"
                )
        await asyncio.sleep(1.0)
    return breaks


if __name__ == "__main__":
    site_module.run(main, HERE)
