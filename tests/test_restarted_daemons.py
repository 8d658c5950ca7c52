"""Test that daemons which restart know which request crashes endpoints."""

import asyncio

from tests.soak import play
from tests.soak import report as report_module
from tests.soak import site as site_module

# Until a daemon that has restarted counts as in touch, and a little more.
PAUSE_SECONDS = 5.0


class _Roll(play.Play):
    """Stop each daemon, then kill each daemon, one after the other."""

    async def _disturb(self):
        await asyncio.sleep(PAUSE_SECONDS)
        for end in (self._stop, self._kill):
            for daemon in self._site.daemons:
                await end(daemon, self._rng)
                await asyncio.sleep(PAUSE_SECONDS)


# Guards against BUDGET: daemons that started again passed a request on that
# had crashed replicas, since nobody told them (review/13).
def test_rolls_let_no_crashing_request_through(tmp_path):
    roll = _Roll(1, 60.0, site_module.FEW, tmp_path)
    asyncio.run(roll.run())
    assert roll.report.broken[report_module.CRASHES] == []
    # Without them nothing was tried.
    assert roll.report.counts["crashes of one request"] >= 2
    restarts = [len(d.incarnations) for d in roll._site.daemons]
    assert restarts == [3, 3, 3]
