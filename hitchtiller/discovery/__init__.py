"""Decisions about the event bus: as of when its events are known, and which subscriptions to keep."""
