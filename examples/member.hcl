# The configuration of a router that is a member of the fleet of deploy/fleet.hcl.
member {
  zone     = "z"
  stewards = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
  relays   = ["127.0.0.1:7301", "127.0.0.1:7302"]  # relays of configuration changes; see docs/changes.md
}
