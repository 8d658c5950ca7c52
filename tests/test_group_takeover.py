"""Test with real processes how controllers survive store failures."""

import collections.abc

import pytest

from tests import group_site
from tests import processes


@pytest.fixture
def site() -> collections.abc.Iterator[group_site.GroupSite]:
    """Run a platform; terminate all processes afterwards."""
    with processes.Fleet() as fleet:
        yield group_site.start(fleet)


def test_second_controller_takes_over_from_a_paused_one(
    site: group_site.GroupSite,
) -> None:
    site.apply_two_member_group()
    first = site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.controller("c2")
    first.pause()
    site.engines["e1"].kill()
    site.wait_ready({"e0", "e2"}, seconds=40.0)
    written = len(site.history("d1"))
    orders = site.orders("e0")
    first.resume()
    processes.wait_for(
        lambda: any("lease_lost" in line for line in first.log_lines)
    )
    assert site.orders("e0") == orders
    history = site.history("d1")
    assert len(history) == written
    group_site.assert_sound(history)


def test_groups_are_repaired_after_lost_answers_and_a_store_outage(
    site: group_site.GroupSite,
) -> None:
    site.apply_two_member_group()
    site.faults(lose_answers=6)
    controller = site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.faults(down=True)
    processes.wait_for(
        lambda: any("lease_lost" in line for line in controller.log_lines)
    )
    orders = site.orders("e0")
    site.engines["e1"].kill()
    site.faults()
    site.wait_ready({"e0", "e2"})
    assert site.orders("e0")[: len(orders)] == orders
    group_site.assert_sound(site.history("d1"))
