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
    EXIT_UNREACHABLE,
    CommandError,
    print_object,
    print_rows,
)


def make_group(name: str, collection: str, kind: str) -> click.Group:
    """Creates a command group with `list`, `show` and possibly `remove`.

    Args:
        name: name of the group; the noun of its objects.
        collection: collection that holds the objects.
        kind: type of the objects in a `Delete` change; empty: no `remove`.
    """
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
    @click.command(
        "remove", help=f"Removes {_with_article(noun)} that is not in use."
    )
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
        group: group that the command is added to.
        collection: collection of the object; it determines the change type.
        example_text: example shown in the help.
        *options: one for each field except the id, named like the field.
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
    described = _with_article(noun.replace("_", " "))
    text = f"Creates {described} or edits the given fields."
    example(example_text)(group.command("put", help=text)(command))


def _with_article(noun: str) -> str:
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
    # The fields and the revision come from the same read, so that a
    # concurrent edit is rejected as a revision conflict.
    if revision is None:
        revision = current.get("revision", 0)
    change = msgspec.structs.replace(
        change, change_id=context.change_id, expected_revision=revision
    )
    context.publish([change])


def _enum_choice(enum: type[Enum]) -> click.Choice:
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
    click.option(
        "--share", type=float, help="Weight when the fleet is full, above 0."
    ),
    click.option(
        "--limit",
        type=int,
        help="Maximum number of concurrent requests and jobs.",
    ),
    click.option(
        "--max-configuration-age",
        type=float,
        help="Seconds; an entry with older configuration refuses the team.",
    ),
)

_add_put(
    data_centre,
    "data-centres",
    "sardinedrift data-centre put jj1 --region north",
    click.option("--region", help="Region of the data centre."),
)

_add_put(
    pool,
    "pools",
    "sardinedrift pool put pairing --max-unavailable 2",
    click.option(
        "--quick-reserve",
        type=float,
        help="Part of the slots that long work cannot hold, 0 to 1.",
    ),
    click.option(
        "--long-floor",
        type=float,
        help="Part of the slots where long work goes first, 0 to 1.",
    ),
    click.option(
        "--max-unavailable",
        type=int,
        help="Availability budget of the pool in instances.",
    ),
    click.option(
        "--max-unavailable-per-rack",
        type=int,
        help="Availability budget of each rack in instances.",
    ),
    click.option(
        "--spare/--no-spare",
        default=None,
        help="Whether waves may borrow instances from the pool.",
    ),
)

_add_put(
    queue,
    "queues",
    "sardinedrift queue put pairing-quick --pool-id pairing",
    click.option("--pool-id", help="Pool that serves the queue."),
    click.option("--work-class", type=_enum_choice(WorkClass)),
    click.option("--idempotent/--not-idempotent", default=None),
    click.option(
        "--open-team", help="Team that requests without a key count for."
    ),
    click.option(
        "--team",
        "team_ids",
        multiple=True,
        callback=_list_or_none,
        help="Team that may use the queue; repeat for each team.",
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
    click.option("--kind", type=_enum_choice(InstanceKind)),
    click.option("--data-centre-id"),
    click.option("--pool-id", help="Set at creation; changed only by a move."),
    click.option("--rack"),
    click.option("--address", help="IP address and port."),
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
    """Publishes the changes that a file requires, as one atomic batch."""
    wanted = desired.load(path, only)
    rows_by_collection = {}
    for section in desired.sections(wanted):
        rows = context.client.rows(section.collection)
        rows_by_collection[section.collection] = {
            row[section.id_field]: row for row in rows
        }
    plan = desired.plan(wanted, rows_by_collection, context.change_id)
    for warning in plan.warnings:
        click.echo(f"note: {warning}", err=True)
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
    """Grants a key and prints its secret, which is not shown again."""
    if context.change_id_given:
        raise click.UsageError(
            "--change-id cannot be used here, because each call generates a "
            "new secret; withdraw the key and grant one with another id"
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
            f"the outcome is unknown: {error}\nthe secret is valid as "
            f"soon as `sardinedrift key show {key_id}` shows the key"
        )
        raise CommandError(text, EXIT_UNREACHABLE) from error
    print_object(context.output_format, row)


@example("sardinedrift key withdraw red-2026")
@key.command("withdraw")
@click.argument("key_id", metavar="KEY")
@revision_option
@pass_context
def withdraw_key(context: Context, key_id: str, revision: int | None) -> None:
    """Withdraws a key permanently."""
    context.publish_edit(
        ch.WithdrawKey, Target("keys", key_id, revision), key_id=key_id
    )
