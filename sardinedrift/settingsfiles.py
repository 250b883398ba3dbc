"""Reads files of settings, whose size is limited."""

import pathlib

from sardinedrift.exceptions import SettingsError

# Parsing a larger file takes long, and it is hardly a file of settings.
MAX_SETTINGS_BYTES = 1 << 20


def read_settings_file(path: str | pathlib.Path) -> bytes:
    """Returns the content of a file of settings.

    Raises:
        SettingsError: the file cannot be read, or is larger than
            `MAX_SETTINGS_BYTES`.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    if len(data) > MAX_SETTINGS_BYTES:
        raise SettingsError(
            f"{path}: is larger than {MAX_SETTINGS_BYTES} bytes; split a fleet "
            "configuration into several files"
        )
    return data
