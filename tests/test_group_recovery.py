"""Test with real processes how groups recover from failures."""

import collections.abc

import pytest

from tests import group_site
from tests import processes


@pytest.fixture
def site() -> collections.abc.Iterator[group_site.GroupSite]:
    """Run a platform; terminate all processes afterwards."""
    with processes.Fleet() as fleet:
        yield group_site.start(fleet)


def test_lost_member_is_replaced_by_a_spare(
    site: group_site.GroupSite,
) -> None:
    site.apply_two_member_group()
    site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.engines["e1"].kill()
    site.wait_ready()
    site.wait_ready({"e0", "e2"})
    group_site.assert_sound(site.history("d1"))
    epochs = [order["epoch"] for order in site.orders("e0")]
    assert epochs == sorted(epochs)


def test_paused_members_return_without_a_load(
    site: group_site.GroupSite,
) -> None:
    site.add_engines(("e0", "e1"), "d1")
    site.publish()
    site.apply(services=[group_site.service(1, 2)], zones=[{"name": "kochi"}])
    site.controller("c1")
    site.wait_ready({"e0", "e1"})
    for engine in site.engines.values():
        engine.pause()
    site.wait_ready()
    for engine in site.engines.values():
        engine.resume()
    site.wait_ready({"e0", "e1"})
    actions = [order["action"] for order in site.orders("e0")]
    assert actions == ["load"]


def test_leaving_member_drains_while_a_replacement_forms(
    site: group_site.GroupSite,
) -> None:
    site.add_engines(("e0", "e1", "e2", "e3"), "d1")
    site.publish()
    site.apply(services=[group_site.service(1, 2)], zones=[{"name": "kochi"}])
    site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.listed["e1"]["state"] = "leaving"
    site.publish()
    site.wait_ready({"e2", "e3"})
    actions = [order["action"] for order in site.orders("e0")]
    assert actions[:2] == ["load", "drain"]


def test_zone_out_drains_and_zone_in_resumes(
    site: group_site.GroupSite,
) -> None:
    site.apply_two_member_group()
    services = [group_site.service(1, 2)]
    site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.apply(services=services, zones=[{"name": "kochi", "state": "out"}])
    site.wait_ready()
    processes.wait_for(lambda: _actions(site, "e0")[-1] == "drain")
    assert len(site.groups()) == 1
    site.apply(services=services, zones=[{"name": "kochi"}])
    site.wait_ready({"e0", "e1"})
    assert _actions(site, "e0") == ["load", "drain", "resume"]


def test_new_version_is_formed_before_the_old_one_is_drained(
    site: group_site.GroupSite,
) -> None:
    site.add_engines(("e0", "e1", "e2", "e3"), "d1")
    site.publish()
    site.apply(services=[group_site.service(1, 2)], zones=[{"name": "kochi"}])
    site.controller("c1")
    site.wait_ready({"e0", "e1"})
    site.apply(
        services=[group_site.service(1, 2, version="v2")],
        zones=[{"name": "kochi"}],
    )
    site.wait_ready({"e2", "e3"})
    for assignment in site.history("d1")[3:]:
        states = [group["state"] for group in assignment["groups"]]
        assert "ready" in states


def test_unreachable_domain_does_not_affect_another(
    site: group_site.GroupSite,
) -> None:
    for domain in ("d1", "d2", "d3"):
        site.add_engines((f"{domain}-e0", f"{domain}-e1"), domain)
    site.publish()
    site.apply(services=[group_site.service(3, 2)], zones=[{"name": "kochi"}])
    site.controller("c1")
    all_groups = [{f"d{n}-e0", f"d{n}-e1"} for n in (1, 2, 3)]
    site.wait_ready(*all_groups)
    for name in ("d1-e0", "d1-e1"):
        site.engines[name].pause()
    site.wait_ready(*all_groups[1:])
    for name in ("d1-e0", "d1-e1"):
        site.engines[name].resume()
    site.wait_ready(*all_groups)
    assert _actions(site, "d1-e0") == ["load"]


def _actions(site: group_site.GroupSite, name: str) -> list[str]:
    return [str(order["action"]) for order in site.orders(name)]
