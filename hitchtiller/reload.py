"""Reloads the configuration file while the program runs.

Settings that can change at run time are applied; changes of the others are logged and need a restart.
"""

from collections.abc import Callable, Mapping
from dataclasses import fields

from hitchtiller.config import Address, Config, ConfigError, read_config
from hitchtiller.log import logger

LIVE_FIELDS = ("bus", "known")  # `known` needs no reload: the bus sends later events


class Reload:
    """Reads the file again on each call; open requests, connections and clients are not affected."""

    def __init__(
        self, config: Config, environ: Mapping[str, str], move_bus: Callable[[Address], None]
    ) -> None:
        """Start with the current configuration; `move_bus` is called with the address of the bus."""
        self.config, self.environ, self.move_bus = config, environ, move_bus

    def __call__(self) -> None:
        """Apply the file as it is now; an invalid one is logged in one line and changes nothing."""
        try:
            new = read_config(self.environ)
        except ConfigError as error:
            logger.warning("configuration not taken: {}", error)
            return
        old, self.config = self.config, new
        restart_fields = [f.name for f in fields(Config) if f.name not in LIVE_FIELDS]
        changed = [name for name in restart_fields if getattr(old, name) != getattr(new, name)]
        if changed:
            logger.warning("not changed before the next start: {}", ", ".join(changed))
        logger.info("configuration taken, bus {}:{}", *new.bus)
        self.move_bus(new.bus)
