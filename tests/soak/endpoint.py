"""Be one endpoint in a process of its own, sound or faulty by command.

Each line of the standard input names the faults of the following requests, or
`quiet SECONDS`, or `slow FACTOR SECONDS` for the pauses between events, or
`full NEW RESUMED`, the shares of requests to reject; its end is the end of the
process, as is a request whose path begins with `CRASHING_PATH`.  The lines of
the standard output tell of each request that was read with the faults that it
met, of the end of its answer or connection, and of times in which the process
could not run.
"""

import contextlib
import json
import os
import random
import select
import socket
import struct
import sys
import threading
import time
import typing

EVENTS: typing.Final = 8
LONG_EVENTS: typing.Final = 36
EVENT_SECONDS: typing.Final = 0.08
WORK_SECONDS: typing.Final = 0.03
MAX_FAULT_SECONDS: typing.Final = 20.0
LAG_CHECK_SECONDS: typing.Final = 0.05
BLOCK_BYTES: typing.Final = 32768
SOUND: typing.Final = "sound"
CRASHING_PATH: typing.Final = b"/plain-crash/"
# What follows the request, or the head of the answer.
ENDLESS_HEADS: typing.Final = {
    "endless-line": b"j" * 64,
    "endless-fields": b"X-Field: j\r\n",
}
ENDLESS_BODIES: typing.Final = {
    "endless-body": b"1000\r\n" + b"j" * 4096 + b"\r\n",
    "endless-small-chunks": b"2\r\njj\r\n",
    "endless-event": b"400\r\n" + b"data: jj" * 128 + b"\r\n",
    "endless-comments": b"5\r\n: c\n\n\r\n",
    "endless-same-event": b"10\r\nid: 1\ndata: jj\n\n\r\n",
    "endless-events": b"",
}
# Faults after which the answer goes on, or its connection ends.
DELAYS: typing.Final = ("silence", "drip")
ENDS: typing.Final = ("reset", "reset-in-answer", "hang")
ACCEPTS: typing.Final = "hanging-accept"
FLOODS: typing.Final = (*ENDLESS_HEADS, *ENDLESS_BODIES)


class Endpoint:
    """Serve each connection in a thread."""

    def __init__(self, name: str, host: str, report: str) -> None:
        self._name = name
        self._report = report.encode()
        self._faults = [SOUND]
        self._quiet_until = 0.0
        self._slow_factor, self._slow_until = 1.0, 0.0
        self._full_shares = [0.0, 0.0]
        self._lock = threading.Lock()
        self._count = 0
        self._listener = socket.create_server((host, 0), backlog=200)
        self._tell(port=self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._measure_lag, daemon=True).start()

    def obey(self, line: str) -> None:
        """Carry out a command."""
        words = line.split()
        if words[0] == "quiet":
            self._quiet_until = time.time() + float(words[1])
        elif words[0] == "slow":
            self._slow_factor = float(words[1])
            self._slow_until = time.time() + float(words[2])
        elif words[0] == "full":
            self._full_shares = [float(share) for share in words[1:]]
        else:
            self._faults = words

    def _tell(self, **fields: object) -> None:
        with self._lock:
            print(json.dumps(fields), flush=True)

    def _measure_lag(self) -> None:
        while True:
            began = time.time()
            time.sleep(LAG_CHECK_SECONDS)
            lag = time.time() - began - LAG_CHECK_SECONDS
            if lag > LAG_CHECK_SECONDS:
                self._tell(lag=lag, at=time.time())

    def _accept(self) -> None:
        while True:
            if ACCEPTS in self._faults:
                time.sleep(0.02)
                continue
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock:
            with sock.makefile("rb") as file:
                while self._serve_one(sock, file):
                    pass

    def _serve_one(self, sock: socket.socket, file: typing.Any) -> bool:
        words = file.readline().split()
        if not words:
            return False
        fields = {}
        while (line := file.readline().decode("latin-1").strip()) != "":
            key, _, value = line.partition(":")
            fields[key.lower()] = value.strip()
        file.read(int(fields.get("content-length", 0)))
        if words[1] == b"/healthz":
            sock.sendall(self._head(fields, "Content-Length: 0"))
            return True
        if fields.get("expect-replica", self._name) != self._name:
            head = self._head(fields, "Content-Length: 0\r\nNot-Executed: 1")
            sock.sendall(head.replace(b"200 OK", b"421 Other"))
            return True
        if words[1] in (b"/v1/report", b"/v1/order"):
            head = self._head(fields, f"Content-Length: {len(self._report)}")
            # It stays in its group.
            if words[0] == b"POST":
                head = head.replace(b"200 OK", b"409 Conflict")
            sock.sendall(head + self._report)
            return True
        if random.random() < self._full_shares["last-event-id" in fields]:
            head = self._head(fields, "Content-Length: 0\r\nNot-Executed: 1")
            sock.sendall(head.replace(b"200 OK", b"503 Full"))
            return True
        if words[1].startswith(CRASHING_PATH):
            self._tell(crash=fields.get("attempt-id", ""), at=time.time())
            os._exit(1)
        try:
            self._answer(sock, fields, words[1])
        finally:
            self._tell(end=fields.get("attempt-id", ""), at=time.time())
        return True

    def _answer(
        self, sock: socket.socket, fields: dict[str, str], path: bytes
    ) -> None:
        faults, began = list(self._faults), time.time()
        self._tell(id=fields.get("attempt-id", ""), faults=faults)
        is_stream = path.startswith(b"/stream")
        first = int(fields.get("last-event-id", 0)) + 1
        for fault in faults:
            self._suffer(sock, fields, fault, is_stream)
        _wait(sock, WORK_SECONDS)
        self._wait_while_quiet(sock)
        self._tell(ready=fields.get("attempt-id", ""), at=[began, time.time()])
        if is_stream:
            count = LONG_EVENTS if b"-long-" in path else EVENTS
            self._send_events(sock, fields, range(first, count + 1))
            return
        body = fields.get("attempt-id", "").encode() * random.choice((1, 9999))
        sock.sendall(self._head(fields, f"Content-Length: {len(body)}") + body)

    def _head(self, fields: dict[str, str], more: str) -> bytes:
        self._count += 1
        text = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields.get('attempt-id', '')}"
            f"\r\nReplica-Id: {self._name}\r\nReplica-Seal: {self._count:x}"
            f"\r\nReplica-Load: 0,0,32\r\n{more}\r\n\r\n"
        )
        return text.encode()

    def _stream_head(self, fields: dict[str, str]) -> bytes:
        return self._head(
            fields,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked",
        )

    def _wait_while_quiet(self, sock: socket.socket) -> None:
        _wait(sock, self._quiet_until - time.time())

    def _send_events(
        self, sock: socket.socket, fields: dict[str, str], numbers: range
    ) -> None:
        data = self._stream_head(fields)
        for number in numbers:
            self._wait_while_quiet(sock)
            sock.sendall(data + _event(number))
            data = b""
            if number < numbers.stop - 1:
                is_slow = time.time() < self._slow_until
                factor = self._slow_factor if is_slow else 1.0
                _wait(sock, factor * EVENT_SECONDS)
        sock.sendall(data + b"0\r\n\r\n")

    def _suffer(
        self,
        sock: socket.socket,
        fields: dict[str, str],
        fault: str,
        is_stream: bool,
    ) -> None:
        """Return if the answer goes on; raise OSError if it ends here."""
        ends_at = time.time() + MAX_FAULT_SECONDS
        if fault == "silence":
            _wait(sock, random.uniform(0.6, 1.4))
        elif fault == "drip":
            for byte in self._stream_head(fields)[:40]:
                sock.sendall(bytes([byte]))
                time.sleep(0.1)
            raise OSError(fault)
        elif fault == "hang":
            sock.settimeout(MAX_FAULT_SECONDS)
            sock.recv(1)
            raise OSError(fault)
        elif fault.startswith("reset"):
            if fault == "reset-in-answer":
                sock.sendall(self._stream_head(fields) + _event(1))
                time.sleep(0.1)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            raise OSError(fault)
        elif fault in FLOODS:
            self._flood(sock, fields, fault, ends_at)

    def _flood(
        self,
        sock: socket.socket,
        fields: dict[str, str],
        fault: str,
        ends_at: float,
    ) -> None:
        if fault in ENDLESS_HEADS:
            sock.sendall(b"HTTP/1.1 200 OK\r\n")
            part = ENDLESS_HEADS[fault]
        else:
            sock.sendall(self._stream_head(fields))
            part = ENDLESS_BODIES[fault]
        number = int(fields.get("last-event-id", 0))
        block = part * (BLOCK_BYTES // len(part)) if part else b""
        while time.time() < ends_at:
            if not part:
                numbers = range(number + 1, number + 501)
                block = b"".join(_event(n) for n in numbers)
                number += 500
            sock.sendall(block)
        raise OSError(fault)


def _wait(sock: socket.socket, seconds: float) -> None:
    """Wait; raise OSError as soon as the connection has ended."""
    ends_at = time.time() + seconds
    while (left := ends_at - time.time()) > 0:
        if select.select([sock], [], [], left)[0]:
            if not sock.recv(1, socket.MSG_PEEK):
                raise OSError("the connection ended")
            time.sleep(min(left, 0.02))


def _event(number: int) -> bytes:
    event = b"id: %d\ndata: token\n\n" % number
    return b"%x\r\n%b\r\n" % (len(event), event)


def draw_faults(rng: random.Random) -> str:
    """Return the faults of an endpoint, one or two at once."""
    kinds = [SOUND, *DELAYS, *ENDS, ACCEPTS]
    fault = rng.choice(kinds + 2 * list(FLOODS))
    if rng.random() < 0.3:
        return f"silence {fault}"
    return fault


def main(name: str, host: str, report: str) -> None:
    """Serve until the standard input ends."""
    endpoint = Endpoint(name, host, report)
    for line in sys.stdin:
        endpoint.obey(line)
    os._exit(0)


if __name__ == "__main__":
    main(*sys.argv[1:])
