# The stewards' file, one for all of them, given by `--file` or TEALCART_FLEET_FILE; docs/fleet.md lists all that may
# stand here. `tealcart steward check --file deploy/fleet.hcl` tells every mistake with its line and column. The
# platform's own start (deploy/balancer.toml) knows nothing of it.

fleet "example" {
  lease         = "10s"  # how long a member's word holds
  drift         = "1s"   # by so much more clocks may run apart in one lease
  forget        = "1h"   # a member that is lost counts as out for so long
  wait_for_lost = false  # "done" waits for lost members that may go by an older word, in place of naming them

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

  data_nodes {
    most          = 1   # out at once, whoever took them out
    zone_share    = 0.5
    least_holders = 1   # whole ones that each shard keeps
  }
  routers {
    most = 1
  }
  halt {
    failed  = 0.2  # share of the queries that routers report as failed
    lost    = 0.5  # share of the routers whose lease is over without a farewell
    holders = 1    # a shard with fewer whole holders halts
  }
  changes {  # of configuration, through relays (docs/changes.md); without this block none are agreed
    lease        = "10s"
    drift        = "1s"
    halt_refused = 0.1  # a greater share of the routers that refuse a version halts publishing
  }
}
