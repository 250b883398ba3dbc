"""The configuration as an entry knows it, and its age."""

from collections.abc import Callable

from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.model import Configuration

# Time after which callers are asked to try again, at any entry.
RETRY_AFTER_S = 1
# A feed gets no older than this while the store answers: a poll takes up to
# 1 s and confirms the time at which it was sent, until the next one is
# answered.
MAX_CURRENT_AGE_S = 3.0


class ConfigurationView:
    """The newest known configuration and its age.

    Args:
        current: returns the configuration, or None before the first.
        feed: feed of the configuration.
        max_key_age_s: age in seconds above which calls with a key are
            refused.
    """

    def __init__(
        self,
        current: Callable[[], Configuration | None],
        feed: Feed,
        max_key_age_s: float,
    ):
        self.current = current
        self._feed = feed
        self._max_key_age_s = max_key_age_s

    @property
    def age(self) -> float:
        """Seconds since the configuration was known to be the newest."""
        return self._feed.age

    def require(self) -> Configuration:
        """Returns the configuration.

        Raises:
            CallError: there is no configuration yet.
        """
        configuration = self.current()
        if configuration is None:
            raise CallError(
                503, "no_configuration", retry_after_s=RETRY_AFTER_S
            )
        return configuration

    def require_fresh_keys(self) -> None:
        """Checks that the configuration is recent enough to validate keys.

        Raises:
            CallError: it is so old that a key may have been withdrawn since.
        """
        if self.age > self._max_key_age_s:
            raise CallError(
                503, "configuration_too_old", retry_after_s=RETRY_AFTER_S
            )

    def absence_error(self, status: int, code: str) -> CallError:
        """Returns the error for an object missing from the configuration.

        Args:
            status: HTTP status, if the configuration is recent.
            code: error code, if the configuration is recent.
        """
        if self.age > MAX_CURRENT_AGE_S:
            return CallError(
                503, "configuration_too_old", retry_after_s=RETRY_AFTER_S
            )
        return CallError(status, code)
