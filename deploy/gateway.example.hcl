# What operators may switch on; copy to gateway.hcl, then `hitchtiller check deploy/gateway.hcl`.
# Without a file of this kind a gateway runs as on the platform. Every setting is shown with what holds without it.

log {
  form = "text" # or "json": one object a line
}

store {
  memory_mb    = 64
  policy       = "s3fifo" # or "tinylfu", "lru", "lfu", "fifo"
  confirm      = true     # suspects are asked about with their tag
  purge_lag_ms = 2000     # from a purge until the event bus has it, at the most

  share "files" { # of the memory tier; a class without a share has weight 1
    weight = 1
  }

  disk {
    folder                = "/var/lib/hitchtiller/store"
    budget_mb             = 1024
    reserve_mb            = 0 # at least two segments are kept in any case
    segment_mb            = 64
    queue_mb              = 8
    readers               = 2
    sync_ms               = 1000
    checkpoint_s          = 30
    compact_mb_per_s      = 50
    compact_busy_mb_per_s = 5
  }
}

membership { # needs peers and peer_listen in the configuration
  period_ms = 1000 # of probes between gateways
  fleet     = ""   # a name that all gateways of one fleet share
}
