# The file of one relay. `--file` or TEALCART_RELAY_FILE names it, and docs/changes.md lists its attributes. `tealcart
# relay check --file deploy/relay.hcl` reports every mistake with its line and column. Run at least two relays in
# each zone. The platform's build and start (deploy/balancer.toml) do not use it.

relay "relay-a1" {
  zone           = "a"
  bind           = "127.0.0.1:7301"  # where the zone's routers reach the relay
  stewards       = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
  most_followers = 1000
  page_bytes     = "64KiB"  # of one page; a follower gets the document in pages if there is no delta from its version
  pages_a_second = 20       # pages to all followers together
}
