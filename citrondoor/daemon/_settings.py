"""Reads and checks the settings of a daemon."""

import pathlib
import re

from citrondoor import documents
from citrondoor import errors
from citrondoor.schema import settings as schema_settings

KEY_PATTERN = re.compile(r"([0-9a-f]{2}){16,}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_SEED_PATTERN = re.compile(r"[0-9.]+:[0-9]{1,5}")


def read_settings(path: pathlib.Path) -> schema_settings.DaemonSettings:
    """Reads and checks a settings file.

    Raises:
      errors.DocumentError: The file is missing or a setting is invalid.
    """
    settings = documents.read_file(schema_settings.DaemonSettings, path)
    if not KEY_PATTERN.fullmatch(settings.peers.key):
        raise errors.DocumentError(
            str(path),
            1,
            f"peers.key, of {len(settings.peers.key)} characters, is invalid",
            "use 32 hexadecimal digits or more, an even number, lower case",
        )
    if not _DIGEST_PATTERN.fullmatch(settings.operator_key_digest):
        raise errors.DocumentError(
            str(path),
            1,
            "operator_key_digest is not a SHA-256 digest",
            "use 64 hexadecimal digits, lower case",
        )
    for seed in settings.seeds:
        if not _SEED_PATTERN.fullmatch(seed):
            raise errors.DocumentError(
                str(path), 1, f"seeds has {seed!r}", "use IP:PORT"
            )
    if settings.peers.dead_ms <= settings.peers.suspect_ms:
        raise errors.DocumentError(
            str(path),
            1,
            f"peers.dead_ms is {settings.peers.dead_ms}",
            f"use more than suspect_ms, {settings.peers.suspect_ms}",
        )
    return settings
