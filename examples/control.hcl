# The configuration of the control service of examples/start-control.
control {
  listen     = "127.0.0.1:18000"
  node_limit = 64
}
