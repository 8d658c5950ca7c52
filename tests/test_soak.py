"""Play short runs of the soak in CI; see the package `tests.soak`."""

import pytest

from tests.soak import __main__ as soak


# Play a little of everything; more is played by hand with other seeds.
@pytest.mark.parametrize("seed", [1, 2, 3, 13])
def test_promises_hold_beside_drawn_faults(seed, tmp_path):
    play = soak.run(seed, 10.0, 3, tmp_path)
    print(play.report.text())
    assert play.report.break_count == 0, play.report.text()
