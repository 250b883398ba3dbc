"""Commands for moves and maintenance waves."""

from typing import Any

import click

from sardinedrift import changes as ch
from sardinedrift.commands import make_group
from sardinedrift.context import (
    Context,
    Target,
    example,
    pass_context,
    revision_option,
)
from sardinedrift.progress import add_watch

move = make_group("move", "moves", "")
add_watch(
    move,
    "moves",
    ("draining",),
    "Shows a move until it ends, with the entries it waits for.",
)

wave = make_group("wave", "waves", "")
add_watch(
    wave,
    "waves",
    ("running",),
    "Shows a wave until it ends; exit status 1 if it was stopped.",
)


@example("sardinedrift move start pairing-w3 --pool-id shared")
@move.command("start")
@click.argument("instance_id", metavar="INSTANCE")
@click.option("--pool-id", required=True, help="Pool the instance moves to.")
@click.option("--move-id", help="Id of the move; generated if omitted.")
@revision_option
@pass_context
def start_move(
    context: Context,
    instance_id: str,
    pool_id: str,
    move_id: str | None,
    revision: int | None,
) -> None:
    """Starts a move; the revision is that of the instance."""
    move_id = context.new_object_id("move", move_id)
    context.publish_edit(
        ch.StartMove,
        Target("instances", instance_id, revision),
        move_id=move_id,
        instance_id=instance_id,
        pool_id=pool_id,
    )
    context.print_id("move", move_id)


@example("sardinedrift move cancel move-4f1c2d3e")
@move.command("cancel")
@click.argument("move_id", metavar="MOVE")
@revision_option
@pass_context
def cancel_move(context: Context, move_id: str, revision: int | None) -> None:
    """Cancels a move that is still draining."""
    context.publish_edit(
        ch.CancelMove, Target("moves", move_id, revision), move_id=move_id
    )


@example("sardinedrift wave start pairing --canary 1 --max-failures 2")
@wave.command("start")
@click.argument("pool_id", metavar="POOL")
@click.option(
    "--instance",
    "instance_ids",
    multiple=True,
    help="Instance to maintain; repeat for each instance.",
)
@click.option("--wave-id", help="Id of the wave; generated if omitted.")
@click.option("--canary", type=int, default=1, show_default=True)
@click.option("--max-failures", type=int, default=2, show_default=True)
@click.option("--return-seconds", type=float, default=600.0, show_default=True)
@click.option(
    "--borrow",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Maximum number of instances borrowed from spare pools at once.",
)
@pass_context
def start_wave(
    context: Context, pool_id: str, wave_id: str | None, **fields: Any
) -> None:
    """Starts maintenance of all instances of a pool, or of those given."""
    wave_id = context.new_object_id("wave", wave_id)
    change = ch.StartWave(
        change_id=context.change_id,
        expected_revision=0,
        wave_id=wave_id,
        pool_id=pool_id,
        **fields,
    )
    context.publish([change])
    context.print_id("wave", wave_id)


@example("sardinedrift wave stop wave-4f1c2d3e")
@wave.command("stop")
@click.argument("wave_id", metavar="WAVE")
@revision_option
@pass_context
def stop_wave(context: Context, wave_id: str, revision: int | None) -> None:
    """Stops a wave; instances in progress are finished."""
    context.publish_edit(
        ch.StopWave, Target("waves", wave_id, revision), wave_id=wave_id
    )
