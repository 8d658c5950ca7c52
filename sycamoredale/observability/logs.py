"""Write logs as JSON lines on the standard error stream."""

import logging
import sys
import typing

import structlog


def configure(level: str, file: typing.Any = None, **context: str) -> None:
    """Set the log level, the output and the fields of every line.

    Warnings and errors of libraries are logged in the same format.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=file or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
    root = logging.getLogger()
    for handler in [
        h for h in root.handlers if isinstance(h, LibraryLogHandler)
    ]:
        root.removeHandler(handler)
    root.addHandler(LibraryLogHandler(logging.WARNING))


class LibraryLogHandler(logging.Handler):
    """Forward messages of the standard logging module to this log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message with the name of the library's logger."""
        get("library").log(
            record.levelno,
            "library_message",
            logger=record.name,
            reason=record.getMessage(),
            exc_info=record.exc_info,
        )


def get(name: str) -> typing.Any:
    """Return the logger of a component."""
    return structlog.get_logger(component=name)
