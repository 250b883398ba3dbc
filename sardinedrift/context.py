"""Context shared by the commands: client, output format and change id."""

import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

import click

from sardinedrift import changes as ch
from sardinedrift.adminclient import AdminClient
from sardinedrift.exceptions import AdminUnknown
from sardinedrift.output import EXIT_UNREACHABLE, CommandError, print_rows


class Target(NamedTuple):
    """The object that a command edits.

    Attributes:
        revision: expected revision given by the user, or None to read the
            current one.
    """

    collection: str
    object_id: str
    revision: int | None


class Context:
    """Client and global options of a command.

    Attributes:
        client: client of the admin addresses.
        output_format: "table" or "json".
        change_id: id of the change that the command publishes.
        change_id_given: whether the user gave the change id.
    """

    def __init__(
        self, addresses: list[str], output_format: str, change_id: str | None
    ):
        self.client = AdminClient(addresses)
        self.output_format = output_format
        self.change_id_given = change_id is not None
        self.change_id = change_id or uuid.uuid4().hex

    def revision(self, target: Target) -> int:
        """Returns the revision that a change expects; 0 for a new object."""
        if target.revision is not None:
            return target.revision
        row = self.client.find(target.collection, target.object_id)
        return row["revision"] if row else 0

    def new_object_id(self, noun: str, given: str | None) -> str:
        """Returns the given id of a new object, or a generated one."""
        # Derived from the change id, so that a repeated command generates the
        # same id.
        generated = uuid.uuid5(uuid.NAMESPACE_OID, self.change_id).hex
        return given or f"{noun}-{generated}"

    def print_id(self, noun: str, object_id: str) -> None:
        """Prints the id of a new object; with JSON output, to stderr."""
        click.echo(f"{noun} {object_id}", err=self.output_format == "json")

    def publish_edit(
        self,
        change_type: type[ch.OperatorChange],
        target: Target,
        **fields: Any,
    ) -> None:
        """Publishes a change of an existing object.

        Args:
            change_type: type of the change.
            target: the object, whose revision the change expects.
            **fields: fields of the change other than its id and revision.
        """
        change = change_type(
            change_id=self.change_id,
            expected_revision=self.revision(target),
            **fields,
        )
        self.publish([change])

    def publish(
        self, changes: list[ch.AnyChange], atomic: bool = False
    ) -> None:
        """Publishes changes and prints their results."""
        try:
            results = self.client.publish(changes, atomic)
        except AdminUnknown as error:
            text = (
                f"the outcome is unknown: {error}\nrepeat the command with "
                f"`sardinedrift --change-id {self.change_id} ...`; it takes "
                "effect once at most"
            )
            raise CommandError(text, EXIT_UNREACHABLE) from error
        if self.output_format == "json":
            print_rows("json", results)
            return
        offset = results[-1]["offset"]
        if len(results) > 1:
            click.echo(f"{len(results)} changes accepted at offset {offset}")
            return
        revision = results[0]["revision"]
        click.echo(f"accepted at offset {offset}, revision {revision}")


pass_context = click.make_pass_decorator(Context)

revision_option = click.option(
    "--revision",
    type=click.IntRange(min=0),
    help="Expected revision of the object; the current one by default.",
)


def example(text: str) -> Callable:
    """Returns a decorator that adds an example to the help of a command."""

    def decorate(command: click.Command) -> click.Command:
        command.epilog = f"Example: {text}"
        return command

    return decorate
