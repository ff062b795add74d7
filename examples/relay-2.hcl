# The second relay of examples/start-fleet; deploy/relay.hcl is the first.

relay "relay-a2" {
  zone     = "a"
  bind     = "127.0.0.1:7302"
  stewards = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
}
