"""Commands that check a configuration before it is put in force."""

import contextlib
import json
from collections.abc import Iterator

import click

from sardinedrift.context import Context, example, pass_context
from sardinedrift.exceptions import (
    AdminRefused,
    AdminUnknown,
    AdminUnreachable,
)
from sardinedrift.output import EXIT_USAGE, CommandError

EXIT_FINDINGS = 1


@example("sardinedrift configuration check fleet.yaml")
@click.group("configuration")
def configuration() -> None:
    """Checks configurations of a fleet."""


@example("sardinedrift configuration check fleet.yaml --against 1200")
@configuration.command("check")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@click.option(
    "--against",
    metavar="VERSION|FILE",
    help="Version in force, or a file with it, to compare FILE with.",
)
@click.option(
    "--format",
    "format_name",
    type=click.Choice(["fleet", "platform"]),
    help="Format of FILE; a file that begins with { is of the platform.",
)
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@pass_context
def check(
    context: Context,
    path: str,
    against: str | None,
    format_name: str | None,
    as_json: bool,
) -> None:
    """Checks FILE for errors, entries without effect, and differences.

    Exit status: 0 no problems, 1 problems were found, 2 FILE or what it is
    compared with cannot be read. Differences are no problems.
    """
    # The fold is slow to import, and only this command needs it.
    from sardinedrift import configurationsources as sources
    from sardinedrift.settingsfiles import read_settings_file

    content = read_settings_file(path)
    if format_name is None:
        file_format = sources.detect_format(content)
    else:
        file_format = sources.ConfigurationFormat(format_name)
    with _unreadable_is_usage():
        findings = sources.check(
            path, content, file_format, against, context.client
        )
    problems = sum(finding.is_problem for finding in findings)
    if as_json or context.output_format == "json":
        rows = [
            {
                "kind": each.kind.value,
                "location": each.location,
                "message": each.message,
            }
            for each in findings
        ]
        click.echo(json.dumps({"problems": problems, "findings": rows}))
    else:
        for each in findings:
            click.echo(f"{each.kind.value}: {each.location}: {each.message}")
        click.echo(f"{path}: problems: {problems}")
    if problems:
        click.get_current_context().exit(EXIT_FINDINGS)


@contextlib.contextmanager
def _unreadable_is_usage() -> Iterator[None]:
    """Ends the program if the version in force cannot be read."""
    try:
        yield
    except (AdminRefused, AdminUnknown, AdminUnreachable) as error:
        text = f"the version in force cannot be read: {error}"
        raise CommandError(text, EXIT_USAGE) from error
