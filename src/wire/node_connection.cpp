#include "wire/node_connection.hpp"

#include <algorithm>
#include <functional>

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t max_completed = 1024;  // ended shard requests that are kept
constexpr int leg_shift = 24;                // the leg is added in the top byte of the hash

}  // namespace

error_code NodeConnection::open(const boost::asio::ip::address& host) {
    error_code failure;
    socket_.open(host.is_v6() ? tcp::v6() : tcp::v4(), failure);
    if (failure) return failure;
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    return {};
}

void NodeConnection::close() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
}

bool NodeConnection::has_capacity(std::size_t max_frames) const {
    if (retired_ || closed_ || has_incomplete_frame()) return false;
    if (in_flight_.size() < max_frames) return true;
    std::size_t frames = 0;
    for (std::size_t i = 0; i < in_flight_.size(); ++i)
        frames += i == 0 || in_flight_[i].frame != in_flight_[i - 1].frame;
    return frames < max_frames;
}

std::uint32_t NodeConnection::request_hash(std::string_view query, std::uint32_t shard, std::uint32_t leg) {
    const auto query_hash = static_cast<std::uint32_t>(std::hash<std::string_view>()(query));
    return query_hash + shard + (leg << leg_shift);
}

void NodeConnection::add_in_flight(std::uint64_t frame, const AttemptMessage& message) {
    in_flight_.push_back(
        {message.attempt, frame, request_hash(message.query->id, message.shard, message.leg)});
}

void NodeConnection::complete(Handle attempt) {
    const auto ended =
        std::find_if(in_flight_.begin(), in_flight_.end(),
                     [attempt](const InFlightAttempt& in_flight) { return in_flight.attempt == attempt; });
    if (ended == in_flight_.end()) return;
    if (completed_.size() < max_completed)
        completed_.push_back(ended->request_hash);
    else
        completed_[completed_count_++ % max_completed] = ended->request_hash;
    in_flight_.erase(ended);
}

bool NodeConnection::was_completed(std::uint32_t request_hash) const {
    return std::find(completed_.begin(), completed_.end(), request_hash) != completed_.end();
}

}  // namespace tealcart
