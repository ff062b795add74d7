# One relay's file, given by `--file` or TEALCART_RELAY_FILE; docs/changes.md lists all that may stand here. `tealcart
# relay check --file deploy/relay.hcl` tells every mistake with its line and column. Two or more a zone; the platform's
# own start (deploy/balancer.toml) knows nothing of it.

relay "relay-a1" {
  zone           = "a"
  bind           = "127.0.0.1:7301"  # where the zone's routers reach it
  stewards       = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
  most_followers = 1000
  page_bytes     = "64KiB"  # of a newcomer's catching up, in one answer ...
  pages_a_second = 20       # ... and so many answers of it a second, to all followers together
}
