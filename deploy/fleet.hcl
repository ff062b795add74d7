# The fleet managers' file, one for all of them. `--file` or TEALCART_FLEET_FILE names it, and docs/fleet.md lists its
# blocks and attributes. `tealcart fleet-manager check --file deploy/fleet.hcl` reports every mistake with its line and
# column. The platform's build and start (deploy/balancer.toml) do not use it.

fleet "example" {
  lease         = "10s"  # how long a member's report is valid
  drift         = "1s"   # how much a member's clock may lose against the managers' in one lease
  forget        = "1h"   # how long a member whose lease has expired still counts as out
  # If true, a removal is not done while a member whose lease has expired may act on an older generation. If false, the
  # removal is done, and such a member is listed as unacknowledged.
  wait_for_lost = false

  steward "1" {
    raft   = "127.0.0.1:7101"
    http   = "127.0.0.1:7201"
    folder = "/tmp/tealcart-example/steward-1"
  }
  steward "2" {
    raft   = "127.0.0.1:7102"
    http   = "127.0.0.1:7202"
    folder = "/tmp/tealcart-example/steward-2"
  }
  steward "3" {
    raft   = "127.0.0.1:7103"
    http   = "127.0.0.1:7203"
    folder = "/tmp/tealcart-example/steward-3"
  }

  # These limits count everything that is out, whoever took it out.
  data_nodes {
    most          = 1    # out at the same time
    zone_share    = 0.5  # share of the data nodes of one zone
    least_holders = 1    # healthy nodes that each shard must keep
  }
  routers {
    most = 1  # out at the same time
  }
  # Grants halt when a condition starts to hold.
  halt {
    failed  = 0.2  # a greater share of the queries that routers report has ended with a status other than 200
    lost    = 0.5  # the leases of a greater share of the routers have expired although they have not left
    holders = 1    # a shard has fewer healthy holders
  }
  # Changes of configuration, which relays distribute (docs/changes.md). Without this block, none are committed.
  changes {
    lease        = "10s"
    drift        = "1s"
    halt_refused = 0.1  # publishing halts if a greater share of the live members refuses the latest version
  }
}
