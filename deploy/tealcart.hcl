# The operators' file. `--file` or TEALCART_FILE names it, and docs/operator-file.md lists its blocks and attributes. A
# feature is off unless its block is present. `tealcart check deploy/tealcart.hcl` reports every mistake with its line
# and column.

# log {
#   format = "json"   # or "text"
#   level  = "info"   # debug, info, warn, error
# }

# two_phase "VERTICAL" {
#   share     = 0.3       # of the time that remains until the response is due, for the first phase
#   least     = "10ms"    # lower bound of the first phase, which is skipped if there is no time for it
#   most      = "1s"      # upper bound of the first phase
#   keep      = "5ms"     # of the remaining time, set aside for sending the response
#   most_rows = 100       # a query that asks for more rows is executed in one phase
#   audit     = 0.01      # share of prunable sections that are queried anyway, to detect wrong summaries
#   remember  = true      # request the term filters of sections and cache them between queries
# }

# section_memory {            # the cache of term filters
#   bytes         = "4MiB"
#   longest_lease = "10s"     # longer leases are cut to this
#   distrust      = "60s"     # how long a node's summaries are ignored after a wrong one
# }

# calls {               # overrides extra.parts_a_call and extra.call_cost of the settings
#   parts = 8           # most shard requests in one call
#   cost  = "45ms"      # node time that a call takes besides its shard requests
# }

# control {                        # only for `tealcart control`; see docs/control.md
#   listen     = "127.0.0.1:18000"
#   node_limit = 64                # requests that all proxies together may have in flight at a warm data node
# }

# member {                         # of a fleet that coordinates removals; see docs/fleet.md
#   zone     = "a"
#   stewards = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
#   serve_on = "24h"               # how long the router acts on its last known state after its lease has expired
#   then     = "leave"             # after that: not ready, but serving ("leave"), or rejecting queries ("stop")
# }
