// Discovery of a hollow fleet on loopback, as the platform's watch speaks: `GET /api/targets` for the whole
// list, `?index=N&wait=MS` for what is newer than N, held back until there is something or MS are over. The
// text of an answer is made once and shared by all that get it.
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

class HollowDiscovery {
  public:
    // All nodes are up, at these addresses in turn.
    HollowDiscovery(boost::asio::io_context& io, std::uint16_t port, std::uint32_t nodes,
                    std::vector<std::string> addresses);
    ~HollowDiscovery();

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::uint64_t generation() const { return generation_; }
    std::size_t nodes() const { return nodes_.size(); }
    const ListedEndpoint& node(std::uint32_t n) const { return nodes_[n]; }
    // Takes effect with the next `tell`, which is one generation.
    void set(std::uint32_t node, Lifecycle lifecycle, Nanos started_at = 0);
    void tell();
    std::size_t whole_bytes();

    struct Counts {
        std::uint64_t calls = 0, whole = 0, bytes = 0, told = 0;  // told: generations
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Caller;
    using Text = std::shared_ptr<const std::string>;

    void accept();
    void read(const std::shared_ptr<Caller>& c);
    bool take(const std::shared_ptr<Caller>& c);
    void answer(const std::shared_ptr<Caller>& c);
    Text text(std::uint64_t after, bool whole);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<ListedEndpoint> nodes_;
    std::set<std::uint32_t> changing_;
    struct Change {
        std::uint64_t generation = 0;
        std::uint32_t node = 0;
    };
    std::deque<Change> changes_;                    // the last ones, oldest first
    std::uint64_t generation_ = 1, forgotten_ = 0;  // forgotten_: what is not newer needs a whole list
    std::map<std::uint64_t, Text> deltas_;          // of this generation, by what is known
    Text whole_;
    std::map<Caller*, std::shared_ptr<Caller>> waiting_;
    Counts counts_;
};

}  // namespace tealcart::testing
