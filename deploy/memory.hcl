# For measuring on the bench only: the memory tier as far as the platform allows (no disk, no tags of our own).
store {
  memory_mb = 8
  confirm   = false
}
