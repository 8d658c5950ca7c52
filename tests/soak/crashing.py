"""Send a request again and again that crashes each endpoint that runs it."""

import asyncio
import random
import time
import typing

from tests.soak import client as client_module
from tests.soak import report as report_module
from tests.soak import site as site_module

ENDPOINTS: typing.Final = 3
COMES_AGAIN_SECONDS: typing.Final = 0.8
BACK_SECONDS: typing.Final = 3.0
CONTACT_SECONDS: typing.Final = 3.0
MAX_RETRIES: typing.Final = 3


class CrashingRequest:
    """Play the request beside all else, and judge how often it ran."""

    def __init__(self, site: site_module.Site) -> None:
        self._site = site
        self._count = 0
        self._process_by_id: dict[str, site_module.Incarnation] = {}

    async def run(self) -> None:
        """Send the request until cancelled."""
        tasks = [
            asyncio.create_task(self._replace_crashed(number))
            for number in range(ENDPOINTS)
        ]
        try:
            while True:
                asyncio.create_task(self._send())
                await asyncio.sleep(COMES_AGAIN_SECONDS)
        finally:
            for task in tasks:
                task.cancel()

    async def _replace_crashed(self, number: int) -> None:
        """Keep an endpoint up, each time under a new id."""
        while True:
            self._count += 1
            one = self._site.start_crashing(f"crashing-{number}-{self._count}")
            while not one.has_ended:
                await asyncio.sleep(0.1)
            await asyncio.sleep(BACK_SECONDS)
            self._site.store.remove("servers", one.name)

    async def _send(self) -> None:
        # Only what comes through daemons in touch counts.
        ready_since = time.time() - CONTACT_SECONDS
        ready = [
            daemon
            for daemon in self._site.daemons
            if daemon.current.is_staying
            and daemon.current.ready_at <= ready_since
        ]
        if not ready:
            return
        daemon = random.choice(ready)
        client = client_module.Client(daemon, site_module.CRASHING_ROUTE)
        process = daemon.current
        found = await client.call()
        client.close()
        if found is not None:
            self._process_by_id[found.attempt] = process

    def judge(self, report: report_module.Report) -> None:
        """Count what reached endpoints later than all could know of it."""
        crashes = sorted(
            crash for one in self._site.crashing for crash in one.crashes
        )
        report.counts["crashes of one request"] = len(crashes)
        if len(crashes) <= MAX_RETRIES:
            report.check(report_module.CRASHES, True, "")
            return
        known_at = crashes[2][0] + CONTACT_SECONDS
        late = [
            f"{attempt} at {at:.3f} by {process.label}"
            for at, attempt in crashes[3:]
            if at > known_at
            and (process := self._process_by_id.get(attempt)) is not None
            and process.is_undisturbed(at - CONTACT_SECONDS, at)
        ]
        report.check(
            report_module.CRASHES,
            len(late) <= MAX_RETRIES,
            f"{len(late)} retries: {late}",
        )
