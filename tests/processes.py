"""Run daemons and stand-ins as processes for tests."""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import typing
import urllib.error
import urllib.request

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS: typing.Final = 20.0
LISTEN_PORTS: typing.Final = range(16000, 32000)
# Test runs beside each other must not draw the same ports.
PORT_RNG: typing.Final = random.SystemRandom()


@dataclasses.dataclass
class Process:
    """Control a process and give its listening address and its log."""

    popen: subprocess.Popen[str]
    address: str = ""
    log_lines: list[str] = dataclasses.field(default_factory=list)

    @property
    def log(self) -> str:
        """Return what the process has logged so far."""
        return "".join(list(self.log_lines))

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        _kill(self.popen)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, seconds: float = 20.0) -> int:
        """Send SIGTERM and return the exit status."""
        self.popen.terminate()
        return self.popen.wait(seconds)


class Fleet(contextlib.ExitStack):
    """Start processes and kill all of them at exit.

    `daemon_tree` is the work tree whose code routers and controllers run.
    """

    def __init__(self) -> None:
        """Create a fleet without processes."""
        super().__init__()
        self.daemon_tree = ROOT
        self._proxy: Process | None = None

    def start(self, *arguments: str, tree: pathlib.Path = ROOT) -> Process:
        """Run a Python module of a work tree as a process."""
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=tree,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": str(tree)},
        )
        process = Process(popen)
        self.callback(_kill, popen)
        threading.Thread(
            target=_collect_log, args=(process,), daemon=True
        ).start()
        return process

    def start_standin(self, *arguments: str) -> Process:
        """Start a stand-in and wait for its address."""
        return self.start_listening("sycamoredale.standins", *arguments)

    def start_listening(self, *arguments: str) -> Process:
        """Start a module and wait until it prints its address."""
        process = self.start(*arguments)
        _read_address(process)
        return process

    def open_link(self, address: str) -> str:
        """Return the address of a new proxy link to an upstream address."""
        answer = request(
            self.proxy_control_address, "POST", "/links", {"upstream": address}
        )
        return str(answer.json()["address"])

    def set_faults(self, link: str, **faults: object) -> None:
        """Replace the faults of a link; see `proxy.Faults`."""
        path = f"/links/{link.rpartition(':')[2]}"
        answer = request(self.proxy_control_address, "PUT", path, faults)
        assert answer.status == 200, answer.body

    def cut_connections(self, link: str) -> None:
        """Close the open connections of a link."""
        self._call_link(link, "/cut")

    def silence_connections(self, link: str) -> None:
        """Block all data on the open connections of a link for good."""
        self._call_link(link, "/silence")

    def get_link_counts(self, link: str) -> dict[str, int]:
        """Return the counts of a link; see `proxy.Counts`."""
        return self._call_link(link, "", "GET")

    def register_source(self, name: str, process: Process) -> None:
        """Register a process under a name for `blocked_sources`."""
        pids = {name: process.popen.pid}
        request(self.proxy_control_address, "PUT", "/sources", pids)

    @property
    def proxy_control_address(self) -> str:
        """Return the control address of the proxy of this fleet."""
        if self._proxy is None:
            self.start_proxy()
        assert self._proxy is not None
        return self._proxy.address

    def start_proxy(self) -> None:
        """Start the proxy; call this before several threads use it."""
        self._proxy = self.start_listening("tests.proxy")

    def _call_link(
        self, link: str, action: str, method: str = "POST"
    ) -> dict[str, int]:
        path = f"/links/{link.rpartition(':')[2]}{action}"
        counts: dict[str, int] = request(
            self.proxy_control_address, method, path
        ).json()
        return counts

    def start_router(
        self, name: str, zone: str, platform: str, *more: str
    ) -> Process:
        """Start a router and wait for its address."""
        process = self.start(
            "sycamoredale",
            "router",
            "--daemon-id",
            name,
            "--zone",
            zone,
            "--platform",
            platform,
            "--listen",
            "127.0.0.1:0",
            *more,
            tree=self.daemon_tree,
        )
        process.address = wait_for(lambda: _logged_address(process))
        return process

    def start_controller(
        self, name: str, zone: str, platform: str, *more: str
    ) -> Process:
        """Start a controller."""
        return self.start(
            "sycamoredale",
            "controller",
            "--daemon-id",
            name,
            "--zone",
            zone,
            "--platform",
            platform,
            *more,
            tree=self.daemon_tree,
        )


@dataclasses.dataclass(frozen=True)
class Answer:
    """Describe the HTTP response to one request."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


def request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: typing.Mapping[str, str] | None = None,
    seconds: float = 30.0,
) -> Answer:
    """Send one request with a JSON body and return the answer."""
    data = None if body is None else json.dumps(body).encode()
    message = urllib.request.Request(
        f"http://{address}{path}",
        data=data,
        method=method,
        headers=dict(headers or {}),
    )
    try:
        with urllib.request.urlopen(message, timeout=seconds) as response:
            return Answer(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, error.headers, error.read())


_Result = typing.TypeVar("_Result")


def wait_for(
    probe: typing.Callable[[], _Result], seconds: float = START_TIMEOUT_SECONDS
) -> _Result:
    """Call a probe until its result is true and return that result."""
    deadline = time.monotonic() + seconds
    while True:
        result = probe()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not true within {seconds} s")
        time.sleep(0.05)


def free_address() -> str:
    """Return a loopback address with a port that was free.

    The port is below those that the kernel gives to outgoing connections, one
    of which could take it before the process that is to listen there.
    """
    while True:
        port = PORT_RNG.choice(LISTEN_PORTS)
        with socket.socket() as sock:
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                return f"127.0.0.1:{port}"


def _logged_address(process: Process) -> str:
    for line in list(process.log_lines):
        if "router_listening" in line:
            return str(json.loads(line)["address"])
    assert process.popen.poll() is None, "\n".join(process.log_lines)
    return ""


def _read_address(process: Process) -> None:
    assert process.popen.stdout is not None
    process.address = process.popen.stdout.readline().strip()
    assert process.address, f"no address printed: {process.log}"


def _collect_log(process: Process) -> None:
    assert process.popen.stderr is not None
    for line in process.popen.stderr:
        process.log_lines.append(line)


def _kill(popen: subprocess.Popen[str]) -> None:
    if popen.poll() is None:
        popen.kill()
    popen.wait()
    if popen.stdout is not None:
        popen.stdout.close()
