"""Converts the `setup` object of the simulator or the configuration file to checked Settings."""

import math
from dataclasses import fields
from typing import Any

from hitchtiller import interface as api

JsonObject = dict[str, Any]
EFFECTS = ("repeatable", "by_key", "once")
KIND_DESCRIPTIONS = {"float": "number >= 0", "int": "whole number >= 0", "bool": "boolean", "str": "string"}


def _entry_at(values: list[Any] | None, index: int, default: Any) -> Any:
    return values[index] if values and index < len(values) else default


def _is_of_kind(value: Any, kind: str) -> bool:
    """Return whether a value is of a field's type; numbers must be finite and not negative."""
    number = isinstance(value, int | float) and not isinstance(value, bool)
    match kind:
        case "float":
            return number and math.isfinite(value) and value >= 0.0
        case "int":
            return isinstance(value, int) and not isinstance(value, bool) and value >= 0
        case "bool":
            return isinstance(value, bool) or value in (0, 1)
        case "str":
            return isinstance(value, str)
    return True


def _check_fields(settings: api.Settings | api.ClassSettings, where: str) -> None:
    """Raise ValueError for a value of the wrong type, which would fail only once a request uses it."""
    for field in fields(settings):
        kind, value = str(getattr(field.type, "__name__", field.type)), getattr(settings, field.name)
        if not _is_of_kind(value, kind):
            raise ValueError(f"{where}: {field.name} {value!r} is not a {KIND_DESCRIPTIONS[kind]}")


def _check_lists(settings: api.Settings) -> None:
    """Raise ValueError for lists without one entry for each zone, or with indexes that do not exist."""
    s, zones = settings, len(settings.zones)
    if not s.classes:
        raise ValueError("settings: no classes")
    if not s.my_number < s.group_size:
        raise ValueError(f"settings: my_number {s.my_number} of {s.group_size} gateways is too large")
    for name, values in (("hub_of", s.hub_of), ("instances_by_zone", s.gateways_in_zone),
                         ("feed_kb_per_s", s.link_kb_per_s)):  # fmt: skip
        if len(values) not in (0, zones) or not all(_is_of_kind(value, "float") for value in values):
            raise ValueError(
                f"settings: {name} {list(values)!r:.80} must have a number for each of {zones} localities"
            )
    if not all(_is_of_kind(hub, "int") and hub < zones for hub in s.hub_of):
        raise ValueError(f"settings: hub_of {list(s.hub_of)!r:.80} must hold indexes of {zones} localities")


def _class(fields: JsonObject, index: int, info: JsonObject) -> api.ClassSettings:
    return api.ClassSettings(
        name=fields["name"],
        aim_ms=fields["aim_ms"],
        deadline_ms=fields["deadline_ms"],
        worth=fields.get("worth", 1.0),
        aim_stretch=fields.get("aim_stretch", 0.0),
        late_share=fields.get("late_value", 0.0),
        effect=fields.get("effect", "repeatable"),
        key_scope=fields.get("key_scope", "all"),
        repeat_window_ms=fields.get("repeat_window_ms", 0.0),
        stream=fields.get("stream", False),
        fresh_ms=_entry_at(info.get("lifetime_by_class_ms"), index, 0.0),
        grace_ms=_entry_at(info.get("grace_for_ms"), index, 0.0),
        stale_share=_entry_at(info.get("old_copy_worth"), index, 0.0),
        write=_entry_at(info.get("uncached"), index, False),
    )


def read_settings(setup: JsonObject) -> api.Settings:
    """Convert the `setup` object to settings; unknown keys are ignored."""
    info, limits, rules = (setup.get(key, {}) for key in ("family_info", "limits", "contract"))
    kinds, zones = setup.get("skus", []), setup.get("localities", [])
    parent, origin = info.get("second_tier_kind", -1), info.get("store_kind", -1)
    classes = [_class(entry, i, info) for i, entry in enumerate(setup["classes"])]
    settings = api.Settings(
        my_number=setup["my_number"],
        group_size=setup["group_size"],
        my_zone=setup["my_zone"],
        zones=tuple(zones),
        hub_of=tuple(info.get("hub_of", [])),
        gateways_in_zone=tuple(info.get("instances_by_zone", [])),
        link_kb_per_s=tuple(info.get("feed_kb_per_s", [])),
        classes={entry.name: entry for entry in classes},
        parent_kind=kinds[parent] if 0 <= parent < len(kinds) else None,
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
        flow_kb_per_s=info.get("stream_kb_per_s", 0.0),
        direct=info.get("direct", False),
        joins=info.get("merges_fills", False),
        siblings=info.get("peers_fill", "none"),
        notes=info.get("note_level", "none"),
        probes=limits.get("may_probe", False),
        report_fields=tuple(setup.get("report", {}).get("fields", [])),
        peers=limits.get("peers", False),
        cancel=limits.get("cancel", False),
        second_copies=limits.get("second_copies", False),
        retry_after=limits.get("retry_after", False),
        max_attempts=limits.get("try_limit", 1),
        max_retry_after_ms=limits.get("max_retry_after_ms", 0.0),
        drain_grace_ms=rules.get("stop_sending_within_ms", 0.0),
        cold_share=rules.get("start_capacity", 1.0),
        cold_ms=rules.get("ramp_time_ms", 0.0),
        fall_multiple=rules.get("overload_factor", 1.0),
        fall_ms=rules.get("tip_after_ms", 1000.0),
        parent_cold_share=info.get("upper_cold_from", 1.0),
        parent_cold_ms=info.get("parent_warms_in_ms", 0.0),
        parent_fall_multiple=info.get("parent_fall_multiple", 1.0),
        origin_fall_multiple=info.get("origin_fall_multiple", 0.0),
        purge_grace_ms=info.get("purge_grace_ms", 0.0),
        purge_done_ms=info.get("gone_everywhere_ms", 0.0),
        weights=setup.get("weights", "rough"),
        asks_discovery=setup.get("discovery") == "ask",
        ask_within_ms=rules.get("ask_within_ms", 0.0),
    )
    _check_fields(settings, "settings")
    for entry in classes:
        _check_fields(entry, f"class {entry.name!r}")
        if entry.effect not in EFFECTS:
            raise ValueError(
                f"class {entry.name!r}: effect {entry.effect!r} is not one of {', '.join(EFFECTS)}"
            )
    _check_lists(settings)
    return settings
