"""The entries of a published configuration, as operators list them."""

import hashlib

import msgspec

from sardinedrift.clientbounds import LegalBounds
from sardinedrift.engine.model import Configuration, Pool, Queue, Team
from sardinedrift.identifiers import TeamId

# Of a key, only the begin of its digest is shown.
DIGEST_LENGTH = 12


class ClientKey(msgspec.Struct, frozen=True):
    """The secret of a key and the client account that it belongs to."""

    secret: str
    team_id: TeamId

    @property
    def label(self) -> str:
        """Name of the key that does not reveal its secret."""
        digest = hashlib.sha256(self.secret.encode()).hexdigest()
        return f"key sha256:{digest[:DIGEST_LENGTH]}"


class ConfigurationEntries(msgspec.Struct, frozen=True):
    """The entries of a configuration in their order, also repeated ones."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]
    keys: tuple[ClientKey, ...]
    max_body_bytes: int
    legal_bounds: LegalBounds = LegalBounds()

    def configuration(self) -> Configuration:
        """Returns the configuration; of a repeated entry, the last counts."""
        return Configuration(
            self.version,
            {queue.queue_id: queue for queue in self.queues},
            {pool.pool_id: pool for pool in self.pools},
            {team.team_id: team for team in self.teams},
            {key.secret: key.team_id for key in self.keys},
            self.max_body_bytes,
            self.legal_bounds,
        )
