"""Write logs as JSON lines on the standard error stream."""

import logging
import sys
import typing

import structlog


def configure(level: str, file: typing.Any = None, **context: str) -> None:
    """Set the level, the stream and the fields that every line carries."""
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


def get(name: str) -> typing.Any:
    """Return the logger of a component."""
    return structlog.get_logger(component=name)
