# The operators' file of the example: queries of the class "search" may have two phases.
two_phase "search" {
  share = 0.3
  least = "20ms"
}
