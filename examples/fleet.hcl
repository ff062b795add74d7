# Four data nodes on loopback, one at each place. Each shard is at two places. docs/testing.md describes the format.
fleet {
  shards         = 8
  places         = 4
  width          = 2
  rows           = 20
  matching       = 1
  top            = 0.5
  discovery_port = 8500
}

node "n0" {
  place      = 0
  port       = 9100
  call_delay = "20ms"
}

node "n1" {
  place      = 1
  port       = 9101
  call_delay = "20ms"
}

node "n2" {
  place      = 2
  port       = 9102
  call_delay = "20ms"
}

node "n3" {
  place      = 3
  port       = 9103
  call_delay = "20ms"
}
