"""Check the fault plans in deploy/days, which the bench runs."""

import pathlib
import tomllib

import pytest

DAYS = sorted(
    (pathlib.Path(__file__).parent.parent / "deploy" / "days").glob("*.toml")
)
# The kinds of faults that can occur at both sites of the milestone.
KINDS = frozenset(
    """add_nodes after_ack_kill answer_lost applied_late big_config bridge_cut
    burst clock_step cold_return config_change config_storm core_cut evacuate
    garble give_up herd_kill hot_key hup lossy node_cut node_freeze node_kill
    node_slow platform_compact platform_down platform_lost platform_slow
    release replace_core replace_with_reuse reset_conns retry_abuse revoke
    roll_term scale_in scale_out shift srv_crash srv_cut srv_grey srv_slow
    zone_cut zone_loss""".split()
)


def _entries(day):
    return [*day.get("plan", ()), *day.get("faults", ())]


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_has_known_kinds_at_times_within_the_day(path):
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    # A day that the users handed over is kept as they wrote it.
    assert day.get("slot", "trouble") in ("trouble", "scale", "quiet")
    for entry in _entries(day):
        assert entry["kind"] in KINDS
        assert 0.0 < entry["at"] < 34.0


def test_each_kind_occurs_together_with_others():
    found = set()
    for path in DAYS:
        entries = _entries(tomllib.loads(path.read_text()))
        assert len({entry["kind"] for entry in entries}) >= 2 or (
            len({entry.get("how") for entry in entries}) >= 2
        )
        found.update(entry["kind"] for entry in entries)
    assert found == KINDS
