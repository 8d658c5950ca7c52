"""Run a daemon on the users' platform."""

from sycamoredale.daemons import launch

if __name__ == "__main__":
    launch.run_entry()
