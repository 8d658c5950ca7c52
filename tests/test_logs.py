"""Test that messages of libraries are logged as JSON, one per line."""

import io
import json
import logging

import pytest
import structlog

from sycamoredale.observability import logs


@pytest.fixture(autouse=True)
def restore_logging():
    """Restore the logging configuration after each test."""
    root = logging.getLogger()
    before = list(root.handlers)
    yield
    root.handlers[:] = before
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


def _lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_warning_of_library_is_logged_with_its_logger():
    stream = io.StringIO()
    logs.configure("info", stream, daemon="d1")
    logging.getLogger("curio.kernel").warning("task %s took long", 7)
    logging.getLogger("curio.kernel").info("nothing of interest")
    (line,) = _lines(stream)
    assert line["event"] == "library_message"
    assert line["reason"] == "task 7 took long"
    assert (line["logger"], line["daemon"]) == ("curio.kernel", "d1")


def test_traceback_of_library_is_logged_as_one_line():
    stream = io.StringIO()
    logs.configure("info", stream)
    try:
        raise ValueError("broken")
    except ValueError:
        logging.getLogger("curio.task").exception("task crashed")
    (line,) = _lines(stream)
    assert line["exception"][0]["exc_value"] == "broken"


def test_configuring_twice_logs_each_message_once():
    stream = io.StringIO()
    logs.configure("info", io.StringIO())
    logs.configure("info", stream)
    logging.getLogger("curio").error("once")
    assert len(_lines(stream)) == 1
