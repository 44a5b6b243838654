"""Structured logs on standard error, one JSON object per line."""

import sys

import structlog


def configure_logs() -> None:
    """Configures structlog for the whole process.

    Each line has the level and an ISO 8601 time stamp in UTC.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
