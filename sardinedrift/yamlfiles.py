"""Reads YAML files and rejects duplicate keys."""

import pathlib
from typing import Any

import yaml

from sardinedrift.exceptions import SettingsError
from sardinedrift.settingsfiles import read_settings_file


class _UniqueKeyLoader(yaml.SafeLoader):
    """Rejects duplicate keys, of which PyYAML silently keeps the last."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict:
        if not isinstance(node, yaml.MappingNode):
            raise _error_at(node, "must be a mapping")
        seen_keys = set()
        for key_node, _ in node.value:
            # The text of a list with aliases to lists can be very long.
            if not isinstance(key_node, yaml.ScalarNode):
                raise _error_at(key_node, "a key must be a scalar")
            key = (key_node.tag, str(key_node.value))
            if key in seen_keys:
                raise _error_at(node, f"key {key[1]!r} is given twice")
            seen_keys.add(key)
        return super().construct_mapping(node, deep)


def _error_at(
    node: yaml.Node, problem: str
) -> yaml.constructor.ConstructorError:
    return yaml.constructor.ConstructorError(
        None, None, problem, node.start_mark
    )


def read_mapping(path: str | pathlib.Path) -> dict[str, Any]:
    """Returns the mapping at the top of a YAML file.

    Raises:
        SettingsError: the file cannot be read, is too large or is not a YAML
            mapping.
    """
    return decode_mapping(path, read_settings_file(path))


def decode_mapping(path: str | pathlib.Path, content: bytes) -> dict[str, Any]:
    """Returns the mapping at the top of the content of a YAML file.

    Raises:
        SettingsError: the content is not a YAML mapping.
    """
    try:
        data = yaml.load(content.decode(), Loader=_UniqueKeyLoader)
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except RecursionError as error:
        raise SettingsError(f"{path}: is nested too deeply") from error
    except (yaml.YAMLError, ValueError, TypeError) as error:
        # PyYAML raises the last two for values such as impossible dates.
        text = " ".join(str(error).split())
        raise SettingsError(f"{path}: is not valid YAML: {text}") from error
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: must be a mapping of keys to values")
    return data
