"""Incremental encoders and decoders for the wire formats; no sockets, and every size is bounded."""
