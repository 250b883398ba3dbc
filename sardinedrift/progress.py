"""Commands that watch an object until it has ended."""

import time
from collections.abc import Iterator

import click

from sardinedrift.context import Context, example, pass_context
from sardinedrift.exceptions import AdminUnreachable
from sardinedrift.output import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    CommandError,
    print_object,
)

POLL_INTERVAL_SECONDS = 0.5


def add_watch(
    group: click.Group,
    collection: str,
    running: tuple[str, ...],
    help_text: str,
) -> None:
    """Adds the command `watch` to the group of a collection.

    Args:
        group: command group, named after its kind of object.
        collection: API collection that holds the object.
        running: states of an object that has not ended.
        help_text: help text of the command.
    """
    noun = group.name

    @example(f"sardinedrift {noun} watch {noun}-4f1c2d3e")
    @group.command("watch", help=help_text)
    @click.argument("object_id", metavar=noun.upper())
    @click.option(
        "--timeout",
        type=click.FloatRange(min=0),
        default=3600.0,
        show_default=True,
        help="Seconds after which watching ends.",
    )
    @pass_context
    def command(context: Context, object_id: str, timeout: float) -> None:
        _watch(context, collection, object_id, timeout, running)


def _watch(
    context: Context,
    collection: str,
    object_id: str,
    timeout: float,
    running: tuple[str, ...],
) -> None:
    """Prints the changes of an object until it has ended.

    Raises:
        CommandError: the object ended in a state other than "done", or has
            not ended within the timeout.
    """
    previous = None
    for row in _poll(context, collection, object_id, timeout):
        if row != previous:
            _print_progress(context, row)
        previous = row
        if row["state"] == "done":
            return
        if row["state"] not in running:
            raise CommandError(f"{object_id} was {row['state']}", EXIT_REFUSED)
    raise CommandError(f"{object_id} has not ended", EXIT_UNREACHABLE)


def _poll(
    context: Context, collection: str, object_id: str, timeout: float
) -> Iterator[dict]:
    deadline = time.time() + timeout
    yield context.client.item(collection, object_id)
    while time.time() < deadline:
        time.sleep(POLL_INTERVAL_SECONDS)
        try:
            yield context.client.item(collection, object_id)
        except AdminUnreachable as error:
            # Entries may be replaced at any time; the watched object continues.
            click.echo(f"note: {error}; trying again", err=True)


def _print_progress(context: Context, row: dict) -> None:
    if context.output_format == "json":
        print_object("json", row)
        return
    parts = [row["state"]]
    parts += filter(None, (row.get("instance_id"), row.get("reason")))
    steps = list(row.get("step_by_instance", {}).values())
    for step in dict.fromkeys(steps):
        parts.append(f"{step} {steps.count(step)}")
    if row.get("lent"):
        parts.append("lent " + ", ".join(row["lent"]))
    if row.get("waiting"):
        parts.append("waiting for " + ", ".join(row["waiting"]))
    click.echo("; ".join(parts))
