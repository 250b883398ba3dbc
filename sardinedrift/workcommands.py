"""Commands for moves and maintenance waves."""

import time
import uuid
from collections.abc import Iterator

import click

from sardinedrift import changes as ch
from sardinedrift.commands import make_group
from sardinedrift.context import Context, example, pass_context, revision_option
from sardinedrift.exceptions import AdminUnreachable
from sardinedrift.output import (
    REFUSED,
    UNREACHABLE,
    CommandError,
    print_object,
)

POLL_SECONDS = 0.5

move = make_group("move", "moves", "")
wave = make_group("wave", "waves", "")

timeout_option = click.option(
    "--timeout",
    type=click.FloatRange(min=0),
    default=3600.0,
    show_default=True,
    help="Seconds after which watching ends.",
)


@example("sardinedrift move start pairing-w3 --pool-id shared")
@move.command("start")
@click.argument("instance_id", metavar="INSTANCE")
@click.option("--pool-id", required=True, help="Pool the instance moves to.")
@click.option("--move-id", help="Name of the move; made up when not given.")
@revision_option
@pass_context
def start_move(
    context: Context, instance_id: str, pool_id: str, move_id, revision
) -> None:
    """Starts to move an instance; the revision is that of the instance."""
    move_id = move_id or name_of("move", context)
    change = ch.StartMove(
        change_id=context.change_id,
        expected_revision=context.revision("instances", instance_id, revision),
        move_id=move_id,
        instance_id=instance_id,
        pool_id=pool_id,
    )
    context.publish([change])
    click.echo(f"move {move_id}", err=context.form == "json")


@example("sardinedrift move cancel move-4f1c2d3e")
@move.command("cancel")
@click.argument("move_id", metavar="MOVE")
@revision_option
@pass_context
def cancel_move(context: Context, move_id: str, revision) -> None:
    """Cancels a move that is still draining."""
    change = ch.CancelMove(
        change_id=context.change_id,
        expected_revision=context.revision("moves", move_id, revision),
        move_id=move_id,
    )
    context.publish([change])


@example("sardinedrift move watch move-4f1c2d3e")
@move.command("watch")
@click.argument("move_id", metavar="MOVE")
@timeout_option
@pass_context
def watch_move(context: Context, move_id: str, timeout: float) -> None:
    """Shows a move until it ends, and the entries it waits for."""
    watch(context, "moves", move_id, timeout, running=("draining",))


@example("sardinedrift wave start pairing --canary 1 --max-failures 2")
@wave.command("start")
@click.argument("pool_id", metavar="POOL")
@click.option("--instance", "instance_ids", multiple=True, help="Repeat it.")
@click.option("--wave-id", help="Name of the wave; made up when not given.")
@click.option("--canary", type=int, default=1, show_default=True)
@click.option("--max-failures", type=int, default=2, show_default=True)
@click.option("--return-seconds", type=float, default=600.0, show_default=True)
@click.option(
    "--borrow",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Most instances of spare pools lent to the wave at once.",
)
@pass_context
def start_wave(
    context: Context, pool_id: str, instance_ids, wave_id, **fields
) -> None:
    """Starts maintenance of a pool, or of some of its instances."""
    wave_id = wave_id or name_of("wave", context)
    change = ch.StartWave(
        change_id=context.change_id,
        expected_revision=0,
        wave_id=wave_id,
        pool_id=pool_id,
        instance_ids=tuple(instance_ids),
        **fields,
    )
    context.publish([change])
    click.echo(f"wave {wave_id}", err=context.form == "json")


@example("sardinedrift wave stop wave-4f1c2d3e")
@wave.command("stop")
@click.argument("wave_id", metavar="WAVE")
@revision_option
@pass_context
def stop_wave(context: Context, wave_id: str, revision) -> None:
    """Stops a wave; instances under way are finished."""
    change = ch.StopWave(
        change_id=context.change_id,
        expected_revision=context.revision("waves", wave_id, revision),
        wave_id=wave_id,
    )
    context.publish([change])


@example("sardinedrift wave watch wave-4f1c2d3e")
@wave.command("watch")
@click.argument("wave_id", metavar="WAVE")
@timeout_option
@pass_context
def watch_wave(context: Context, wave_id: str, timeout: float) -> None:
    """Shows the progress of a wave until it ends; status 1 if stopped."""
    watch(context, "waves", wave_id, timeout, running=("running",))


def name_of(prefix: str, context: Context) -> str:
    """Returns a name for an object that the user did not name."""
    # Follows from the change id, so that a repeated command names the same.
    return f"{prefix}-{uuid.uuid5(uuid.NAMESPACE_OID, context.change_id).hex}"


def watch(
    context: Context,
    collection: str,
    object_id: str,
    timeout: float,
    running: tuple[str, ...],
) -> None:
    """Shows an object until its state is none of those given.

    Raises:
        CommandError: it ended in a state other than "done", or not in time.
    """
    last = None
    for row in _poll(context, collection, object_id, timeout):
        if row != last:
            _print_progress(context, row)
        last = row
        if row["state"] == "done":
            return
        if row["state"] not in running:
            raise CommandError(f"{object_id} was {row['state']}", REFUSED)
    raise CommandError(f"{object_id} has not ended", UNREACHABLE)


def _poll(
    context: Context, collection: str, object_id: str, timeout: float
) -> Iterator[dict]:
    deadline = time.time() + timeout
    yield context.client.item(collection, object_id)
    while time.time() < deadline:
        time.sleep(POLL_SECONDS)
        try:
            yield context.client.item(collection, object_id)
        except AdminUnreachable as error:
            # Entries are replaced at any time; what is watched goes on.
            click.echo(f"note: {error}; trying again", err=True)


def _print_progress(context: Context, row: dict) -> None:
    if context.form == "json":
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
