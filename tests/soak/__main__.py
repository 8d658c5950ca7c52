"""Play one run by hand; ends with 1 if a promise was broken."""

import argparse
import asyncio
import pathlib
import random
import shlex
import signal
import sys

from tests.soak import play as play_module
from tests.soak import site as site_module


def run(
    seed: int, seconds: float, daemons: int, folder: pathlib.Path
) -> play_module.Play:
    """Play one run with its logs in a folder; return it judged."""
    folder.mkdir(parents=True, exist_ok=True)

    async def main() -> play_module.Play:
        play = play_module.Play(seed, seconds, daemons, folder)
        await play.run()
        return play

    return asyncio.run(main())


def main() -> int:
    """Read the arguments, play and print what was tried and broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--daemons", type=int, help="drawn by default")
    parser.add_argument("--fleet", action="store_true", help="use hubs")
    parser.add_argument("--folder", type=pathlib.Path)
    options = parser.parse_args()
    if options.daemons is None:
        sizes = 4 * [site_module.FEW] + [site_module.MANY]
        if options.fleet:
            sizes = [*site_module.FLEETS]
        options.daemons = random.Random(f"size {options.seed}").choice(sizes)
    folder = options.folder or pathlib.Path(f"/tmp/soak-{options.seed}")
    # Ends the processes of the run too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    print(f"seed {options.seed}, logs in {folder}", flush=True)
    play = run(options.seed, options.seconds, options.daemons, folder)
    print(play.report.text())
    command = f"--seed {options.seed} --seconds {options.seconds:g}"
    command += f" --daemons {options.daemons}"
    command += f" --folder {shlex.quote(str(folder))}"
    print(f"repeat with: python -m tests.soak {command}")
    return 1 if play.report.break_count else 0


if __name__ == "__main__":
    sys.exit(main())
