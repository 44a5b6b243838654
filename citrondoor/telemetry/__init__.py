"""Metrics and structured logs of a daemon."""

from citrondoor.telemetry._logs import configure_logs
from citrondoor.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logs"]
