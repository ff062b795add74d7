#include "wire/connection_eviction.hpp"

namespace tealcart {

using State = HttpConnection::State;

Handle choose_for_room(const SlotMap<HttpConnection>& connections) {
    enum Rank : std::uint8_t { lingering, idle, in_request, never };
    using Candidate = std::pair<Rank, Nanos>;
    Handle chosen;
    Candidate least(never, TimerQueue::never);
    connections.for_each([&](Handle handle, const HttpConnection& connection) {
        Candidate candidate(never, TimerQueue::never);
        if (connection.state == State::lingering)
            candidate = {lingering, connection.idle_since};
        else if (connection.state == State::reading && connection.reader.begun())
            candidate = {in_request, connection.request_began};
        else if (connection.state == State::reading && connection.unread.empty())
            candidate = {idle, connection.idle_since};
        if (candidate >= least) return;
        boost::system::error_code ignored;
        if (candidate.first != lingering && connection.socket.available(ignored) > 0) return;
        chosen = handle;
        least = candidate;
    });
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
