"""The tables of all roles of the fleet, in the order of docs/CAPACITY.md."""

from standins.scale.estimate import Figures, Table
from standins.scale.plan import Demand
from standins.scale.roles_gateway import (
    build_gateway_control_table,
    build_gateway_data_table,
    build_home_gateway_table,
    build_member_table,
    build_subscriber_table,
)
from standins.scale.roles_servers import (
    build_discovery_table,
    build_operator_table,
    build_origin_table,
    build_parent_table,
    build_station_cache_table,
)

ROLE_TABLE_BUILDERS = (
    build_gateway_data_table,
    build_gateway_control_table,
    build_home_gateway_table,
    build_member_table,
    build_subscriber_table,
    build_discovery_table,
    build_station_cache_table,
    build_parent_table,
    build_origin_table,
    build_operator_table,
)


def build_role_tables(figures: Figures, demand: Demand) -> list[Table]:
    """Return the tables of all roles."""
    return [build_table(figures, demand) for build_table in ROLE_TABLE_BUILDERS]
