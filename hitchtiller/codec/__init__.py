"""Incremental codecs: bytes in, values out; no sockets, every size bounded."""
