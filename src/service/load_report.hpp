// Logs what clients made the process refuse, drop or hold, and turns of the event loop that took long.
#pragma once

#include "service/query_dispatcher.hpp"
#include "wire/http_server.hpp"

namespace tealcart {

// Writes at most one line a second for each of the two subjects, and none while nothing is to be told.
class LoadReport {
  public:
    LoadReport(HttpServer& server, QueryDispatcher& dispatcher) : server_(server), dispatcher_(dispatcher) {}

    // Must be called at the end of each turn, which ran handlers, timers and a round from `began` to `now`.
    void on_turn_end(Nanos began, Nanos now);

  private:
    void report_clients(Nanos now);
    void report_long_turn(Nanos now);

    HttpServer& server_;
    QueryDispatcher& dispatcher_;
    HttpServerCounters reported_server_;
    RefusalCounters reported_refusals_;
    Nanos clients_due_ = 0, turns_due_ = 0;  // no line before
    Nanos longest_turn_ = 0;                 // since the last line
    int long_turns_ = 0;
};

}  // namespace tealcart
