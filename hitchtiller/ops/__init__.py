"""What on-call staff use: calls, figures, hold-outs, and the change to a new version."""
