// The discovery service of a hollow fleet on loopback, with the protocol of the platform's watch: `GET
// /api/targets` returns the full list, and `?index=N&wait=MS` returns the changes after generation N as soon
// as there are any, or after MS milliseconds. The text of a response is built once and shared by all clients
// that receive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tables/endpoint_list.hpp"

namespace tealcart::testing {

// The server, and the nodes that it lists.
class HollowDiscovery {
  public:
    // Lists `nodes` data nodes, all of them ready. The nodes get the addresses in turn.
    HollowDiscovery(boost::asio::io_context& io, std::uint16_t port, std::uint32_t nodes,
                    std::vector<std::string> addresses);
    ~HollowDiscovery();

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::uint64_t generation() const { return generation_; }
    std::size_t nodes() const { return nodes_.size(); }
    const ListedEndpoint& node(std::uint32_t index) const { return nodes_[index]; }
    // Changes a node. The change takes effect with the next publish().
    void set_lifecycle(std::uint32_t index, Lifecycle lifecycle, Nanos started_at = 0);
    // Publishes all pending changes as one generation.
    void publish();
    // Returns the size of a response with the full list.
    std::size_t full_list_bytes();

    // The requests received, full lists and bytes sent, and generations published since the start.
    struct Counts {
        std::uint64_t requests = 0, full_lists = 0, bytes = 0, generations = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    // A client's connection, its received bytes and its pending response.
    struct Connection;
    using SharedText = std::shared_ptr<const std::string>;

    void accept();
    void read(const std::shared_ptr<Connection>& connection);
    bool handle_request(const std::shared_ptr<Connection>& connection);
    void respond(const std::shared_ptr<Connection>& connection);
    SharedText response_text(std::uint64_t after, bool full);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<ListedEndpoint> nodes_;
    std::set<std::uint32_t> pending_changes_;
    // A change of one node, and the generation that published it.
    struct Change {
        std::uint64_t generation = 0;
        std::uint32_t node = 0;
    };
    std::deque<Change> changes_;  // the most recent changes, oldest first
    std::uint64_t generation_ = 1;
    std::uint64_t dropped_generation_ = 0;        // a client with an earlier generation gets the full list
    std::map<std::uint64_t, SharedText> deltas_;  // responses for this generation, by the client's generation
    SharedText full_text_;
    // Connections whose request waits for the next generation, by their address.
    std::map<Connection*, std::shared_ptr<Connection>> waiting_;
    Counts counts_;
};

}  // namespace tealcart::testing
