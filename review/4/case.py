"""Rule LOST: a planned stop, and streams of a sound replica that are cut off.

The daemons are stopped in turn.  Each has one stream open, on a route whose
streams may not be resumed.  Its replica falls silent for a second or so and
goes on.  The stream would end long before the end of the grace.
"""

import asyncio
import pathlib
import random
import sys
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import http  # noqa: E402
from standins import replicas  # noqa: E402
from standins import site as site_module  # noqa: E402

HOST = "cellar.example"
KEY = "key-concierge"
SERVICE = "sommelier-llm"
MODEL = "m1"
SIZE = 3
GROUPS = len(site_module.ZONES)
MODELS = {MODEL: {"load_s": 12.0, "warm_s": 1.1}}
DAEMONS = 3
# "A second or so"; clients give a stream up after eight times
# `gap_target_ms`, 2.4 s.
SILENCE_SECONDS = 1.2
OTHERS = 6


def manifest():
    """Return the only version of the manifest."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "summary",
                "hostname": HOST,
                "path_prefix": "/summary/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "slo_ms": 300,
                "priority": 1,
                "backend": SERVICE,
                "max_attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
                "gap_target_ms": 300,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 354,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "warmup_per_s": 0.0,
                "engine": {
                    "slots": 13,
                    "kv_capacity": 795000,
                    "stride": 7,
                    "step_ms": 5.95,
                    "per_seq_ms": 0.0445,
                    "read_per_s": 50700.0,
                    "loads_per_s": 4.5,
                    "loads_at_once": 6,
                    "far_x": 3.0,
                    "form_ms": 300,
                    "stall_ms": 5000,
                    "usual": {"prompt": 1420, "answer": 140},
                    "models": [
                        {
                            "name": MODEL,
                            "size": SIZE,
                            "share": 1.0,
                            "pace": 1.0,
                            **MODELS[MODEL],
                        }
                    ],
                },
            }
        ],
        "tenants": [{"name": "concierge", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def new_attempt():
    """Return the id of a new client attempt."""
    return uuid.uuid4().hex[:16]


async def ask(site, daemon, attempt):
    """Send one streamed request; return the reply."""
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline": "8000",
        "Authorization": f"Bearer {KEY}",
        "Model": MODEL,
        "Token-Count": "1460,140",
        "Prompt-Prefix": f"5c1e07a2:40,{attempt[:8]}:1420",
    }
    site.note(f"client sends {attempt} to {daemon.name}")
    began = asyncio.get_running_loop().time()
    reply = await http.call(
        daemon.front, "POST", "/summary/1", headers, b"prompt", seconds=9.0
    )
    seconds = asyncio.get_running_loop().time() - began
    events = reply.body.count(b"\n\n")
    site.note(
        f"{daemon.name} answers {attempt}: {reply.status}, {events} of "
        f"{replicas.EVENTS} events, complete: {reply.complete}, after "
        f"{seconds:.2f} s"
    )
    return reply


async def main(site):
    """Stop the daemons in turn, and return the streams that were cut off."""
    store = site.store
    await site.start_store()
    store.write("config", "main", manifest())
    fleet = {}
    for zone in site_module.ZONES:
        for _ in range(SIZE):
            name = f"i-{uuid.uuid4().hex[:10]}"
            engine = fleet[name] = replicas.Engine(
                site, name, SERVICE, zone, f"fabric-{zone}", MODELS, fleet
            )
            await engine.start(site.new_host())
    site.start_daemons(DAEMONS)
    await site.wait_ready()
    async with asyncio.timeout(30.0):
        while GROUPS > sum(
            e.group is not None and e.group.state == "open"
            for e in fleet.values()
        ):
            await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    site.has_traffic = True
    stopped = set()

    async def press():
        while True:
            running = [d for d in site.daemons if d not in stopped]
            reply = await ask(site, random.choice(running), new_attempt())
            if not reply.complete or reply.status != 200:
                await asyncio.sleep(1.0)

    others = [asyncio.create_task(press()) for _ in range(OTHERS)]
    await asyncio.sleep(2.0)
    breaks = []
    for daemon in site.daemons[:-1]:
        attempt = new_attempt()
        stream = asyncio.create_task(ask(site, daemon, attempt))
        await asyncio.sleep(0.5)
        stopped.add(daemon)
        if site.trouble:
            site.note(f"{daemon.name} gets SIGTERM")
            daemon.terminate()
        await asyncio.sleep(0.3)
        ran = [e for e in fleet.values() if attempt in e.ran]
        for engine in ran:
            engine.fall_silent(SILENCE_SECONDS)
        reply = await stream
        # Only what is cut off around planned work counts, and nothing that
        # the replica has broken off itself.
        broke_off = any(attempt in engine.cut_off for engine in ran)
        if site.trouble and ran and not broke_off and not reply.complete:
            breaks.append(
                f"{daemon.name} cut off {attempt} during its planned stop"
            )
        await asyncio.sleep(8.0)
    for task in others:
        task.cancel()
    return breaks


if __name__ == "__main__":
    site_module.run(main, HERE)
