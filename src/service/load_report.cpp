#include "service/load_report.hpp"

#include "log/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos report_interval = 1000 * millisecond;
// Answers and timers wait for the length of a turn.
constexpr Nanos long_turn = 100 * millisecond;

unsigned long long printable(std::uint64_t number) { return number; }

// Returns whether connections or requests were given up, which does not happen with well-behaved clients.
bool tells_trouble(const HttpServerCounters& now, const HttpServerCounters& before) {
    HttpServerCounters comparable = now;
    comparable.accepted = before.accepted;
    return comparable != before;
}

bool tells_trouble(const RefusalCounters& now, const RefusalCounters& before) {
    RefusalCounters comparable = now;
    comparable.clients_left = before.clients_left;
    return comparable != before;
}

}  // namespace

void LoadReport::on_turn_end(Nanos began, Nanos now) {
    const Nanos took = now - began;
    if (took >= long_turn) {
        ++long_turns_;
        longest_turn_ = std::max(longest_turn_, took);
    }
    if (now >= clients_due_) report_clients(now);
    if (long_turns_ > 0 && now >= turns_due_) report_long_turn(now);
}

void LoadReport::report_clients(Nanos now) {
    clients_due_ = now + report_interval;
    const HttpServerCounters& server = server_.counters();
    const RefusalCounters& refusals = dispatcher_.refusals();
    if (tells_trouble(server, reported_server_))
        log_line(
            "clients: %zu connections open, %llu accepted, %llu evicted, of these %llu with an unread "
            "response; given up for memory: %llu incomplete requests, %llu responses; in time neither "
            "complete %llu, read %llu nor served %llu; %llu large requests refused for waiting clients; %llu "
            "malformed; %llu with requests sent ahead dropped; buffers hold %zu of %zu bytes, at most %zu "
            "since the last line",
            server_.open(), printable(server.accepted), printable(server.evicted),
            printable(server.unread_evicted), printable(server.incomplete_dropped),
            printable(server.unread_dropped), printable(server.incomplete), printable(server.unread),
            printable(server.expired), printable(server.shed), printable(server.malformed),
            printable(server.read_ahead_dropped), server_.memory().used(), server_.memory().limit(),
            server_.memory().take_peak());
    if (tells_trouble(refusals, reported_refusals_))
        log_line(
            "queries: %zu and shard requests in progress; refused: %llu invalid, %llu with an id in use, "
            "%llu over the limit, %llu without memory, %llu without a connection, %llu cut off; %llu clients "
            "left; queries hold %zu of %zu bytes, at most %zu since the last line",
            dispatcher_.unfinished_count(), printable(refusals.invalid), printable(refusals.id_in_use),
            printable(refusals.too_many), printable(refusals.no_memory), printable(refusals.crowded),
            printable(refusals.cut_off), printable(refusals.clients_left), dispatcher_.memory().used(),
            dispatcher_.memory().limit(), dispatcher_.memory().take_peak());
    reported_server_ = server;
    reported_refusals_ = refusals;
}

void LoadReport::report_long_turn(Nanos now) {
    turns_due_ = now + report_interval;
    log_line("the event loop was busy for up to %lld ms in one turn; %d turns took over %lld ms",
             static_cast<long long>(longest_turn_ / millisecond), long_turns_,
             static_cast<long long>(long_turn / millisecond));
    long_turns_ = 0;
    longest_turn_ = 0;
}

}  // namespace tealcart
