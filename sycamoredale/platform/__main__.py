"""Run a daemon on the users' platform."""

from sycamoredale.platform import daemon

if __name__ == "__main__":
    daemon.run()
