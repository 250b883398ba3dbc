"""What the commands share: the client, the output form and change ids."""

import uuid
from collections.abc import Callable

import click

from sardinedrift import changes as ch
from sardinedrift.adminclient import AdminClient
from sardinedrift.exceptions import AdminUnknown
from sardinedrift.output import UNREACHABLE, CommandError, print_rows


class Context:
    """Options given before the command.

    Attributes:
        client: client of the admin addresses.
        form: "table" or "json".
        change_id: id of the change that the command publishes.
        repeated: the change id was given by the user.
    """

    def __init__(self, addresses: list[str], form: str, change_id: str | None):
        self.client = AdminClient(addresses)
        self.form = form
        self.repeated = change_id is not None
        self.change_id = change_id or uuid.uuid4().hex

    def revision(
        self, collection: str, object_id: str, given: int | None
    ) -> int:
        """Returns the revision a change expects; 0 for a new object."""
        if given is not None:
            return given
        row = self.client.find(collection, object_id)
        return row["revision"] if row else 0

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
            raise CommandError(text, UNREACHABLE) from error
        if self.form == "json":
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
    help="Revision the object must be at; read first when not given.",
)


def example(text: str) -> Callable:
    """Adds an example to the help of a command."""

    def decorate(command: click.Command) -> click.Command:
        command.epilog = f"Example: {text}"
        return command

    return decorate
