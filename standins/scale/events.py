"""What the events cost and how long they take, at the size that is planned for."""

from hitchtiller.decide import ORIGIN_FILLS
from standins.scale.assumptions import (
    DAY_S,
    HEARD_S,
    LIST_CHANGES,
    PURGE_BYTES,
    SIGNAL_S,
    control_core,
    servers,
)
from standins.scale.estimate import Figures, Row, Table, list_gateways
from standins.scale.plan import Demand

FRONT_S = 10.0  # nine in ten restarted processes are ready within
RACK_SITES = 1.0  # a rack holds the gateways of one site, the largest unit that the operators tell
GROUP_SHARE = 1.0 / 256.0  # of all objects: groups are numbered 0 to 255
APART_S = 3_600.0
TIMES_TOLD, WORD_BYTES = 34.0, 11.0  # membership/gossip.py at 2,300; membership/words.py


def steady(figures: Figures, demand: Demand) -> Table:
    """A steady day."""
    return Table(
        "A steady day",
        (
            Row(
                "control, processor time a gateway",
                control_core(figures, demand),
                "cores",
                demand.control_cores,
                "sum of four fits",
                "hitchtiller.decide.Router",
            ),
            Row(
                "list changes a gateway",
                LIST_CHANGES * (demand.failures_a_day + demand.restarts_a_day),
                "1/day",
                None,
                "told, 3 lines each",
                "hitchtiller.decide.Router.on_members",
            ),
            Row(
                "purges a gateway",
                demand.purges * DAY_S,
                "1/day",
                None,
                "told",
                "hitchtiller.routing.purges.PurgeLog",
            ),
        ),
    )


def failures(figures: Figures, demand: Demand) -> Table:
    """The machines that fail or are restarted on an ordinary day."""
    events = demand.failures_a_day + demand.restarts_a_day
    detect = figures.at("members_detect")
    return Table(
        f"{demand.failures_a_day:g} failures and {demand.restarts_a_day:g} restarts",
        (
            Row(
                "a failed gateway known to all",
                detect,
                "s",
                None,
                figures.basis("members_detect"),
                "hitchtiller.membership.detector.Detector",
                kind="time",
            ),
            Row(
                "time of a day with one unknown",
                events * detect / DAY_S,
                "share",
                None,
                "events x detection",
                "hitchtiller.membership.detector.Detector",
            ),
            Row(
                "a restarted gateway ready",
                figures.at("process_start"),
                "s",
                FRONT_S,
                figures.basis("process_start"),
                "hitchtiller.__main__.serve",
                kind="time",
            ),
            Row(
                "a restarted gateway has heard of all",
                figures.at("members_catch_up"),
                "s",
                None,
                figures.basis("members_catch_up"),
                "hitchtiller.membership.detector.Detector",
                kind="time",
            ),
        ),
    )


def rack(figures: Figures, demand: Demand) -> Table:
    """A rack or switch."""
    lost = RACK_SITES * demand.gateways / demand.sites
    return Table(
        "A rack or switch",
        (
            Row(
                "gateways lost",
                lost,
                "gateways",
                None,
                "assumed: one site's, the largest unit behind one switch that is told",
            ),
            Row(
                "load on the others of the zone",
                1.0 / (1.0 - lost / demand.gateways_in_zone()),
                "times the mean",
                None,
                "zone's gateways over those left",
            ),
            Row(
                "leases of owners among them that nobody lends",
                ORIGIN_FILLS * lost / demand.gateways,
                "permits",
                None,
                "owners spread over sites",
                "hitchtiller.routing.leases.OriginLeases",
            ),
        ),
    )


def zone(figures: Figures, demand: Demand) -> Table:
    """A zone lost and back."""
    return Table(
        "A zone lost and back",
        (
            Row("gateways lost", float(demand.gateways_in_zone()), "gateways", None, "gateways over zones"),
            Row(
                "caches that return cold",
                float(demand.caches_in_zone()),
                "caches",
                None,
                "caches over zones",
                "hitchtiller.routing.cold.ColdGuard",
            ),
            Row(
                "cold cache: calls in its window, all gateways",
                figures.at("cold_cache"),
                "of what it bears",
                1.0,
                figures.basis("cold_cache"),
                "hitchtiller.routing.cold.ColdGuard",
                rule=True,
            ),
        ),
    )


def regions(figures: Figures, demand: Demand) -> Table:
    """Regions that lose each other for an hour."""
    return Table(
        "Regions apart for an hour and healed",
        (
            Row(
                "purges that a region cut from discovery does not hear",
                demand.purges * APART_S,
                "purges",
                None,
                "rate x one hour; own copies are suspect meanwhile",
                "hitchtiller.store.suspect.Proof",
            ),
            Row(
                "until a purge is in force there",
                APART_S,
                "s",
                demand.purge_s,
                "the whole cut; nothing tells it",
                kind="time",
            ),
            Row(
                "bytes that each gateway is told on return",
                demand.purges * APART_S * PURGE_BYTES / 1e6,
                "MB",
                None,
                "events from the last number on",
                "hitchtiller.bus.BusLink",
            ),
            Row(
                "fills at once, all gateways",
                figures.at("origin_peak"),
                "fills",
                float(ORIGIN_FILLS),
                figures.basis("origin_peak"),
                "hitchtiller.routing.leases.OriginLeases",
                rule=True,
            ),
        ),
    )


def purge(figures: Figures, demand: Demand) -> Table:
    """A purge of a group."""
    return Table(
        "A purge of a group",
        (
            Row(
                "objects concerned",
                demand.objects * GROUP_SHARE,
                "objects",
                None,
                "assumed: 256 equal groups",
            ),
            Row(
                "in force at a gateway that hears discovery",
                HEARD_S,
                "s",
                demand.purge_s,
                "assumed: the operators' 31 to 310 ms",
                "hitchtiller.routing.purges.PurgeLog",
                kind="time",
            ),
            Row("gateways known to have it", 0.0, "gateways", float(demand.gateways), "nothing is confirmed"),
        ),
    )


def configuration(figures: Figures, demand: Demand) -> Table:
    """A configuration pushed to all, and one pushed by mistake and taken back."""
    wait = DAY_S / demand.changes_a_day
    return Table(
        "A configuration pushed to all; one pushed by mistake and taken back",
        (
            Row(
                "changes that overlap",
                SIGNAL_S * demand.gateways / wait,
                "changes",
                None,
                "signals to all, one change each 24 s",
            ),
            Row(
                "until a change is in force everywhere",
                SIGNAL_S * demand.gateways,
                "s",
                demand.change_s,
                f"assumed: {SIGNAL_S:g} s a gateway, one after another",
                kind="time",
                exponent=1.0,
            ),
            Row(
                "until a mistake is taken back everywhere",
                2.0 * SIGNAL_S * demand.gateways,
                "s",
                demand.change_s,
                "assumed: the same way twice",
                kind="time",
                exponent=1.0,
            ),
        ),
    )


def restarts(figures: Figures, demand: Demand) -> Table:
    """Every gateway restarted within a day."""
    rate = demand.gateways / DAY_S
    at = list_gateways(servers(demand))
    return Table(
        "Every gateway restarted within a day",
        (
            Row("restarts", 60.0 * rate, "1/min", None, "gateways over a day"),
            Row(
                "whole lists from discovery",
                rate * figures.at("list_bytes", at),
                "B/s",
                None,
                figures.basis("list_bytes"),
                "hitchtiller.bus.BusLink",
            ),
            Row(
                "words of membership a gateway and second",
                TIMES_TOLD * rate * WORD_BYTES,
                "B/s",
                demand.control_bytes,
                "each start is told 34 times, 11 bytes",
                "hitchtiller.membership.gossip.Gossip",
            ),
            Row(
                "lease owners in their first term at a time",
                ORIGIN_FILLS * 10.1 / DAY_S,
                "permits",
                None,
                "a term of 10.1 s each",
                "hitchtiller.routing.leases.OriginLeases",
            ),
        ),
    )


EVENTS = (steady, failures, rack, zone, regions, purge, configuration, restarts)


def events(figures: Figures, demand: Demand) -> list[Table]:
    """Give the tables of all events."""
    return [event(figures, demand) for event in EVENTS]
