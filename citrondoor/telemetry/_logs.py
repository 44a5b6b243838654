"""Structured logs on standard error: one JSON line for a change of state."""

import sys

import structlog


def configure_logs() -> None:
    """Sets the form of all log lines of the process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
