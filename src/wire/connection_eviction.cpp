#include "wire/connection_eviction.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace tealcart {

using State = HttpConnection::State;

namespace {

// A client that takes no byte of its response for this long has stopped reading. Ordinary responses fit into
// the system's buffers and are written at once, whatever their client does.
constexpr Nanos max_response_stall = 100'000'000;

// A client sends its first request right after connecting, so its connection is not idle before.
constexpr Nanos first_request_pause = 50'000'000;

enum class Rank : std::uint8_t { lingering, idle, in_request, unread_response };

struct Candidate {
    Rank rank = Rank::lingering;
    Nanos since = 0;
    Handle handle;

    friend bool operator<(const Candidate& a, const Candidate& b) {
        return std::tie(a.rank, a.since) < std::tie(b.rank, b.since);
    }
};

std::optional<Candidate> candidate_of(Handle handle, const HttpConnection& connection, Nanos now) {
    if (connection.state == State::lingering)
        return Candidate{Rank::lingering, connection.idle_since, handle};
    if (connection.state == State::writing && now - connection.progress_at >= max_response_stall)
        return Candidate{Rank::unread_response, connection.progress_at, handle};
    if (connection.state != State::reading) return std::nullopt;
    if (connection.reader.begun()) return Candidate{Rank::in_request, connection.request_began, handle};
    const bool is_new = !connection.served && now - connection.progress_at < first_request_pause;
    if (is_new || !connection.unread.empty()) return std::nullopt;
    return Candidate{Rank::idle, connection.idle_since, handle};
}

}  // namespace

bool may_be_evicted(const HttpConnection& connection, Nanos now) {
    if (!candidate_of({}, connection, now)) return false;
    boost::system::error_code ignored;
    return connection.state != State::reading || connection.socket.available(ignored) == 0;
}

std::vector<Handle> choose_for_room(const SlotMap<HttpConnection>& connections, std::size_t count,
                                    Nanos now) {
    std::vector<Candidate> candidates;
    connections.for_each([&](Handle handle, const HttpConnection& connection) {
        if (const auto candidate = candidate_of(handle, connection, now)) candidates.push_back(*candidate);
    });
    std::sort(candidates.begin(), candidates.end());
    std::vector<Handle> chosen;
    for (const Candidate& candidate : candidates) {
        if (chosen.size() == count) break;
        if (may_be_evicted(*connections.find(candidate.handle), now)) chosen.push_back(candidate.handle);
    }
    return chosen;
}

Handle choose_for_memory(const SlotMap<HttpConnection>& connections, Handle except, Nanos now) {
    constexpr double nanos_per_millisecond = 1e6;
    Handle chosen;
    double most = 0;  // byte milliseconds
    connections.for_each([&](Handle handle, const HttpConnection& connection) {
        if (connection.state != State::reading && connection.state != State::writing) return;
        if (handle == except) return;
        const double stalled = static_cast<double>(now - connection.progress_at) / nanos_per_millisecond;
        const double cost = static_cast<double>(connection.charge.bytes()) * stalled;
        if (cost <= most) return;
        chosen = handle;
        most = cost;
    });
    return chosen;
}

}  // namespace tealcart
