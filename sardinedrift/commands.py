"""Commands that edit teams, keys, pools, queues, rules and instances."""

import hashlib
import secrets
from collections.abc import Callable
from enum import Enum
from typing import Any

import click
import msgspec

from sardinedrift import changes as ch
from sardinedrift import desired
from sardinedrift.context import (
    Context,
    Target,
    example,
    pass_context,
    revision_option,
)
from sardinedrift.exceptions import AdminUnknown
from sardinedrift.identifiers import SECRET_PREFIX, InstanceKind, WorkClass
from sardinedrift.output import (
    UNREACHABLE,
    CommandError,
    print_object,
    print_rows,
)


def make_group(name: str, collection: str, kind: str) -> click.Group:
    """Returns a group with `list`, `show` and, for a kind, `remove`."""
    noun = name.replace("-", " ")
    group = click.Group(name, help=f"Shows and edits {collection}.")
    group.epilog = f"Example: sardinedrift {name} list"
    group.add_command(_list_command(name, collection))
    group.add_command(_show_command(name, collection, noun))
    if kind:
        group.add_command(_remove_command(name, collection, kind, noun))
    return group


def _list_command(name: str, collection: str) -> click.Command:
    @example(f"sardinedrift --output json {name} list")
    @click.command("list", help=f"Lists the {collection}.")
    @pass_context
    def command(context: Context) -> None:
        print_rows(context.output_format, context.client.rows(collection))

    return command


def _show_command(name: str, collection: str, noun: str) -> click.Command:
    @example(f"sardinedrift {name} show NAME")
    @click.command("show", help=f"Shows one {noun}.")
    @click.argument("object_id", metavar="ID")
    @pass_context
    def command(context: Context, object_id: str) -> None:
        row = context.client.item(collection, object_id)
        print_object(context.output_format, row)

    return command


def _remove_command(
    name: str, collection: str, kind: str, noun: str
) -> click.Command:
    @example(f"sardinedrift {name} remove NAME")
    @click.command("remove", help=f"Removes {_a(noun)} that nothing uses.")
    @click.argument("object_id", metavar="ID")
    @revision_option
    @pass_context
    def command(context: Context, object_id: str, revision: int | None) -> None:
        context.publish_edit(
            ch.Delete,
            Target(collection, object_id, revision),
            kind=kind,
            object_id=object_id,
        )

    return command


def _add_put(
    group: click.Group,
    collection: str,
    example_text: str,
    *options: Callable,
) -> None:
    """Adds a command that creates an object or edits some of its fields.

    Args:
        group: gets the command.
        collection: where the object is read; it names the change as well.
        example_text: shown in the help.
        *options: one for each other field than the id, named like the field.
    """
    section = desired.SECTION_BY_COLLECTION[collection]
    noun = section.id_field.removesuffix("_id")

    @pass_context
    def command(
        context: Context, object_id: str, revision: int | None, **fields: Any
    ) -> None:
        _put(context, section, object_id, revision, fields)

    argument = click.argument("object_id", metavar=noun.upper())
    for parameter in reversed((argument, *options, revision_option)):
        command = parameter(command)
    what = _a(noun.replace("_", " "))
    text = f"Creates {what} or edits the fields that are given."
    example(example_text)(group.command("put", help=text)(command))


def _a(noun: str) -> str:
    return f"an {noun}" if noun[0] in "aeiou" else f"a {noun}"


def _put(
    context: Context,
    section: desired.Section,
    object_id: str,
    revision: int | None,
    fields: dict[str, Any],
) -> None:
    """Creates an object, or edits the fields that are not None."""
    current = context.client.find(section.collection, object_id) or {}
    names = desired.field_names(section.change_type)
    row = {name: current[name] for name in names if name in current}
    row.update({k: v for k, v in fields.items() if v is not None})
    row[section.id_field] = object_id
    try:
        change = desired.read_row(section.change_type, row)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    # The current fields and the revision come from one reading, so that an
    # edit between the two is noticed.
    if revision is None:
        revision = current.get("revision", 0)
    change = msgspec.structs.replace(
        change, change_id=context.change_id, expected_revision=revision
    )
    context.publish([change])


def _values(enum: type[Enum]) -> click.Choice:
    return click.Choice([each.value for each in enum])


def _list_or_none(
    ctx: click.Context, parameter: click.Parameter, values: tuple[str, ...]
) -> list[str] | None:
    del ctx, parameter
    return list(values) or None


team = make_group("team", "teams", "team")
key = make_group("key", "keys", "")
pool = make_group("pool", "pools", "pool")
queue = make_group("queue", "queues", "queue")
rule = make_group("rule", "rules", "rule")
instance = make_group("instance", "instances", "instance")
data_centre = make_group("data-centre", "data-centres", "data_centre")

_add_put(
    team,
    "teams",
    "sardinedrift team put pairing --share 2 --limit 80",
    click.option("--share", type=float, help="Weight when the fleet is full."),
    click.option("--limit", type=int, help="Most requests running at once."),
    click.option(
        "--max-configuration-age",
        type=float,
        help="Seconds; older configuration refuses the team.",
    ),
)

_add_put(
    data_centre,
    "data-centres",
    "sardinedrift data-centre put jj1 --region north",
    click.option("--region", help="Region the data centre is in."),
)

_add_put(
    pool,
    "pools",
    "sardinedrift pool put pairing --max-unavailable 2",
    click.option(
        "--quick-reserve", type=float, help="Slots without long work."
    ),
    click.option(
        "--long-floor", type=float, help="Slots where long goes first."
    ),
    click.option("--max-unavailable", type=int, help="Budget of the pool."),
    click.option(
        "--max-unavailable-per-rack", type=int, help="Budget of a rack."
    ),
    click.option("--spare/--no-spare", default=None, help="Waves may borrow."),
)

_add_put(
    queue,
    "queues",
    "sardinedrift queue put pairing-quick --pool-id pairing",
    click.option("--pool-id", help="Pool that serves the queue."),
    click.option("--work-class", type=_values(WorkClass)),
    click.option("--idempotent/--not-idempotent", default=None),
    click.option("--open-team", help="Team that keyless requests count for."),
    click.option(
        "--team",
        "team_ids",
        multiple=True,
        callback=_list_or_none,
        help="May use it; repeat.",
    ),
    click.option("--max-body-bytes", type=int),
    click.option("--max-run-seconds", type=float),
)

_add_put(
    rule,
    "rules",
    "sardinedrift rule put red-pairing --pool-id pairing --team-id red",
    click.option("--pool-id"),
    click.option("--team-id"),
    click.option("--share", type=float, help="Weight of the team in the pool."),
)

_add_put(
    instance,
    "instances",
    "sardinedrift instance put m1 --address 127.0.0.1:9001 --rack r1",
    click.option("--kind", type=_values(InstanceKind)),
    click.option("--data-centre-id"),
    click.option("--pool-id", help="Set at creation; later only by a move."),
    click.option("--rack"),
    click.option("--address", help="IP number and port."),
    click.option("--slots", type=int),
    click.option("--connections", type=int),
    click.option("--cores", type=float),
    click.option("--memory-gb", type=float),
    click.option("--accelerators", type=int),
)


@example("sardinedrift instance import instances.yaml")
@instance.command("import")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@pass_context
def import_instances(context: Context, path: str) -> None:
    """Creates or edits the instances listed in a YAML file, all or none."""
    apply_file(context, path, only=("instances",))


def apply_file(
    context: Context, path: str, only: tuple[str, ...] | None = None
) -> None:
    """Publishes what a file changes, as one atomic batch."""
    wanted = desired.load(path, only)
    rows_by_collection = {}
    for section in desired.sections(wanted):
        rows = context.client.rows(section.collection)
        rows_by_collection[section.collection] = {
            row[section.id_field]: row for row in rows
        }
    plan = desired.plan(wanted, rows_by_collection, context.change_id)
    for remark in plan.remarks:
        click.echo(f"note: {remark}", err=True)
    if plan.changes:
        context.publish(plan.changes, atomic=True)
    elif context.output_format == "json":
        print_rows("json", [])
    else:
        click.echo("nothing to change")


@example("sardinedrift key grant red-2027 --team-id red")
@key.command("grant")
@click.argument("key_id", metavar="KEY")
@click.option("--team-id", required=True, help="Team that the key is for.")
@pass_context
def grant_key(context: Context, key_id: str, team_id: str) -> None:
    """Grants a key and prints its secret, which is shown only this once."""
    if context.change_id_given:
        raise click.UsageError(
            "--change-id cannot be used here, because the secret is new each "
            "time; withdraw the key and grant one with another id"
        )
    secret = SECRET_PREFIX + secrets.token_urlsafe(32)
    change = ch.GrantKey(
        change_id=context.change_id,
        expected_revision=0,
        key_id=key_id,
        team_id=team_id,
        digest=hashlib.sha256(secret.encode()).hexdigest(),
    )
    row = {"key_id": key_id, "team_id": team_id, "secret": secret}
    try:
        context.client.publish([change])
    except AdminUnknown as error:
        print_object(context.output_format, row)
        text = (
            f"the outcome is unknown: {error}\nthe secret works once "
            f"`sardinedrift key show {key_id}` shows the key"
        )
        raise CommandError(text, UNREACHABLE) from error
    print_object(context.output_format, row)


@example("sardinedrift key withdraw red-2026")
@key.command("withdraw")
@click.argument("key_id", metavar="KEY")
@revision_option
@pass_context
def withdraw_key(context: Context, key_id: str, revision: int | None) -> None:
    """Withdraws a key for good."""
    context.publish_edit(
        ch.WithdrawKey, Target("keys", key_id, revision), key_id=key_id
    )
