"""Package repositories over HTTP/1.1; see docs/repositories.md."""
