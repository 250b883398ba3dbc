"""Command line of the program `sardinedrift`: runs and administers entries.

Exit status: 0 success, 1 refused, 2 invalid usage or settings, 3 no entry
accepted the call or the outcome is unknown.
"""

from typing import IO, Any

import click

from sardinedrift import changes as ch
from sardinedrift import (
    commands,
    configurationcommands,
    desired,
    explain,
    jobcommands,
    workcommands,
)
from sardinedrift.addresses import split_address
from sardinedrift.context import Context, example, pass_context
from sardinedrift.output import errors_to_exit_status, print_object, print_rows


class _ProgramGroup(click.Group):
    """Maps the errors of every command to exit statuses."""

    def invoke(self, ctx: click.Context) -> Any:
        with errors_to_exit_status():
            return super().invoke(ctx)


def _parse_addresses(
    ctx: click.Context, parameter: click.Parameter, values: tuple[str, ...]
) -> list[str]:
    del ctx, parameter
    addresses = [part for value in values for part in value.split(",") if part]
    for address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise click.BadParameter(str(error)) from error
    return addresses


@example("sardinedrift --admin 127.0.0.1:7102 status")
@click.group(cls=_ProgramGroup, context_settings={"max_content_width": 80})
@click.option(
    "--admin",
    "addresses",
    multiple=True,
    envvar="SARDINEDRIFT_ADMIN",
    default=("127.0.0.1:7102",),
    show_default=True,
    callback=_parse_addresses,
    help="Admin address of an entry; repeat it to try several in order.",
)
@click.option(
    "--output",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@click.option(
    "--change-id",
    help="Id of a change to repeat because its outcome is unknown.",
)
@click.version_option(package_name="sardinedrift")
@click.pass_context
def main(
    ctx: click.Context, addresses: list[str], form: str, change_id: str | None
) -> None:
    """Manages the capacity and maintenance of a fleet."""
    ctx.obj = Context(addresses, form, change_id)


@example("sardinedrift explain 5c0e7a21d94b36f8 --log node-1.log")
@main.command("explain")
@click.argument("job_id")
@click.option(
    "--log",
    "logs",
    multiple=True,
    required=True,
    type=click.File("rb"),
    help="Log file of an entry; repeat for each entry.",
)
def explain_job(job_id: str, logs: tuple[IO[bytes], ...]) -> None:
    """Shows the history of a job from the logs of entries."""
    explanation = explain.explain(job_id, logs)
    for line in explain.render(job_id, explanation):
        click.echo(line)


@example("sardinedrift entry --config examples/entry.yaml")
@main.group("entry", invoke_without_command=True)
@click.option(
    "--config", type=click.Path(dir_okay=False), help="Settings file."
)
@click.pass_context
def entry(ctx: click.Context, config: str | None) -> None:
    """Runs an entry, or shows and retires entries."""
    if ctx.invoked_subcommand is None:
        if config is None:
            raise click.UsageError("give --config FILE or a command", ctx)
        _run_entry(config)


@example("sardinedrift entry run --config examples/entry.yaml")
@entry.command("run")
@click.option("--config", type=click.Path(dir_okay=False), required=True)
def run_entry(config: str) -> None:
    """Runs an entry until it receives SIGINT or SIGTERM."""
    _run_entry(config)


def _run_entry(config: str) -> None:
    # Imported on demand, because the server's libraries are slow to import.
    from sardinedrift import settings

    loaded = settings.load(config)
    from sardinedrift import entry as entry_module

    entry_module.run(loaded)


@example("sardinedrift entry list")
@entry.command("list")
@pass_context
def list_entries(context: Context) -> None:
    """Lists the entries with their membership."""
    print_rows(context.output_format, context.client.rows("entries"))


@example("sardinedrift entry retire 0190f7a2 --evidence 'host was removed'")
@entry.command("retire")
@click.argument("entry_id", metavar="ENTRY")
@click.option(
    "--evidence", required=True, help="How the process is known to have ended."
)
@pass_context
def retire_entry(context: Context, entry_id: str, evidence: str) -> None:
    """Declares that an entry process has certainly ended.

    End a frozen process first: otherwise the work that it still holds would
    run alongside newly placed work.
    """
    change = ch.EntryGone(
        change_id=context.change_id, entry_id=entry_id, evidence=evidence
    )
    context.publish([change])


@example("sardinedrift --output json status")
@main.command("status")
@pass_context
def status(context: Context) -> None:
    """Shows an entry, offsets of live entries, pending drains and joins."""
    reply = context.client.get("/v1/status")
    if context.output_format == "json":
        print_object("json", reply)
        return
    rows_by_data_centre = reply.pop("data_centres")
    waiting = [*reply.pop("waiting_drains"), *reply.pop("waiting_joins")]
    print_object("table", reply)
    entries = [
        {"data_centre_id": data_centre_id, **row}
        for data_centre_id, rows in rows_by_data_centre.items()
        for row in rows
    ]
    for rows in (entries, waiting):
        if rows:
            click.echo()
            print_rows("table", rows)


@example("sardinedrift timeline --all --wave-id wave-4f1c2d3e")
@main.command("timeline")
@click.option(
    "--all", "merged", is_flag=True, help="Merges the events of all entries."
)
@click.option("--kind")
@click.option("--since", type=float, help="Earliest time in unix seconds.")
@click.option("--request-id")
@click.option("--team-id")
@click.option("--instance-id")
@click.option("--move-id")
@click.option("--wave-id")
@click.option("--limit", type=click.IntRange(min=1), default=100)
@pass_context
def show_timeline(context: Context, merged: bool, **selection: Any) -> None:
    """Shows recent events, ordered by log offset and then by time."""
    query = {k: str(v) for k, v in selection.items() if v is not None}
    if merged:
        query["all"] = "1"
    reply = context.client.get("/v1/timeline", **query)
    if context.output_format == "json":
        print_object("json", reply)
    else:
        print_rows("table", reply["events"])
    for entry_id in reply["unreachable"]:
        click.echo(f"note: entry {entry_id} did not answer", err=True)


@example("sardinedrift config check entry.yaml")
@main.group("config")
def config() -> None:
    """Checks files without contacting an entry."""


@example("sardinedrift config check examples/joyjugal/configuration.yaml")
@config.command("check")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(["entry", "fleet"]),
    help="Type of the file; detected from its keys if omitted.",
)
def check_file(path: str, kind: str | None) -> None:
    """Checks the settings of an entry or the configuration of a fleet."""
    from sardinedrift import settings, yamlfiles

    if kind is None:
        sections = {section.name for section in desired.SECTIONS}
        is_fleet = sections & set(yamlfiles.read_mapping(path))
        kind = "fleet" if is_fleet else "entry"
    if kind == "fleet":
        desired.check(path)
    else:
        settings.load(path)
    click.echo(f"{path}: valid {kind} file")


@example("sardinedrift apply examples/joyjugal/configuration.yaml")
@main.command("apply")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@pass_context
def apply(context: Context, path: str) -> None:
    """Applies a configuration file as one atomic batch.

    Objects that are not in the file stay unchanged. Applying the same file
    again changes nothing.
    """
    commands.apply_file(context, path)


for _group in (
    commands.team,
    commands.key,
    commands.pool,
    commands.queue,
    commands.rule,
    commands.instance,
    commands.data_centre,
    workcommands.move,
    workcommands.wave,
    jobcommands.job,
    configurationcommands.configuration,
):
    main.add_command(_group)
