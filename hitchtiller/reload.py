"""A new configuration file while the program runs: what can change live does, the rest is told."""

from collections.abc import Callable, Mapping
from dataclasses import fields

from hitchtiller.config import Address, Config, ConfigError, read_config
from hitchtiller.log import logger

LIVE_FIELDS = ("bus", "known")  # the bus tells what `known` holds from the last number on


class Reload:
    """Reads the file again when told to; requests, connections and clients stay as they are."""

    def __init__(
        self, config: Config, environ: Mapping[str, str], move_bus: Callable[[Address], None]
    ) -> None:
        """Start from the configuration in force; `move` follows the bus to another address."""
        self.config, self.environ, self.move_bus = config, environ, move_bus

    def __call__(self) -> None:
        """Take the file as it is now; a bad one is told in one line and changes nothing."""
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
