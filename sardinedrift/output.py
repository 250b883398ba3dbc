"""Prints objects as a table or as JSON; maps errors to exit statuses."""

import contextlib
import json
from collections.abc import Iterable, Iterator
from typing import Any

import click

from sardinedrift.exceptions import (
    AdminRefused,
    AdminUnknown,
    AdminUnreachable,
    SettingsError,
)

EXIT_REFUSED = 1
EXIT_USAGE = 2
# No entry accepted the call, or the outcome is unknown.
EXIT_UNREACHABLE = 3

Row = dict[str, Any]


class CommandError(click.ClickException):
    """Ends the program with a message and an exit status."""

    def __init__(self, message: str, exit_code: int):
        super().__init__(message)
        self.exit_code = exit_code


@contextlib.contextmanager
def errors_to_exit_status() -> Iterator[None]:
    """Maps errors raised in the block to exit statuses."""
    try:
        yield
    except AdminRefused as error:
        raise CommandError(f"refused: {error}", EXIT_REFUSED) from error
    except SettingsError as error:
        raise CommandError(str(error), EXIT_USAGE) from error
    except AdminUnreachable as error:
        text = f"no entry accepted the call; nothing was changed: {error}"
        raise CommandError(text, EXIT_UNREACHABLE) from error
    except AdminUnknown as error:
        text = f"the outcome is unknown: {error}"
        raise CommandError(text, EXIT_UNREACHABLE) from error


def print_object(output_format: str, row: Row) -> None:
    """Prints one object as JSON or with one field per line."""
    if output_format == "json":
        click.echo(json.dumps(row))
        return
    width = max((len(name) for name in row), default=0)
    for name, value in row.items():
        click.echo(f"{name:<{width}}  {_cell(value)}")


def print_rows(output_format: str, rows: Iterable[Row]) -> None:
    """Prints objects as JSON or as a table with one object per line."""
    rows = list(rows)
    if output_format == "json":
        click.echo(json.dumps({"items": rows}))
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    if not names:
        return
    table = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for cells in table:
        padded = map(str.ljust, cells, widths)
        click.echo("  ".join(padded).rstrip())


def _cell(value: Any) -> str:
    if value is None or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ",".join(f"{name}={_cell(each)}" for name, each in value.items())
    if isinstance(value, list):
        return ",".join(map(_cell, value))
    return str(value)
