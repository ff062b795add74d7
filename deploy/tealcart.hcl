# The operators' file, given by `--file` or TEALCART_FILE; docs/operator-file.md lists all that may stand here. Nothing
# is on unless it is stated. `tealcart check deploy/tealcart.hcl` tells every mistake with its line and column.

# log {
#   format = "json"   # or "text"
#   level  = "info"   # debug, info, warn, error
# }

# two_phase "VERTICAL" {
#   share     = 0.3       # of the time until the answer is due, for the first phase,
#   least     = "10ms"    # but at least this (else there is no first phase) ...
#   most      = "1s"      # ... and at most this
#   keep      = "5ms"     # of that time, kept for the answer
#   most_rows = 100       # a query for more rows has one phase
#   audit     = 0.01      # share of prunable sections that are asked all the same, to catch wrong words
#   remember  = true      # keep what sections say they can't hold
# }

# section_memory {
#   bytes         = "4MiB"
#   longest_lease = "10s"
#   distrust      = "60s"
# }

# calls {               # where stated, it holds over the settings' extra.parts_a_call and extra.call_cost
#   parts = 8
#   cost  = "45ms"
# }

# control {                        # for `tealcart control` alone; docs/control.md
#   listen     = "127.0.0.1:18000"
#   node_limit = 64
# }

# member {                         # of a fleet that agrees on who may be out; docs/fleet.md
#   zone     = "a"
#   stewards = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
#   serve_on = "24h"               # after its lease is over, by what it last knew
#   then     = "leave"             # or "stop"
# }
