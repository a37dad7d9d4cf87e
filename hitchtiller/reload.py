"""A new configuration file while the program runs: what can change live does, the rest is told."""

from collections.abc import Callable, Mapping
from dataclasses import fields

from hitchtiller.config import Address, Config, ConfigError, read_config
from hitchtiller.log import logger

LIVE = ("bus", "known")  # the bus tells what `known` holds from the last number on


class Reload:
    """Reads the file again when told to; requests, connections and clients stay as they are."""

    def __init__(self, config: Config, environ: Mapping[str, str], move: Callable[[Address], None]) -> None:
        """Start from the configuration in force; `move` follows the bus to another address."""
        self.config, self.environ, self.move = config, environ, move

    def __call__(self) -> None:
        """Take the file as it is now; a bad one is told in one line and changes nothing."""
        try:
            new = read_config(self.environ)
        except ConfigError as error:
            logger.warning("configuration not taken: {}", error)
            return
        old, self.config = self.config, new
        fixed = [f.name for f in fields(Config) if f.name not in LIVE]
        changed = [name for name in fixed if getattr(old, name) != getattr(new, name)]
        if changed:
            logger.warning("not changed before the next start: {}", ", ".join(changed))
        logger.info("configuration taken, bus {}:{}", *new.bus)
        self.move(new.bus)
