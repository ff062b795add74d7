// A test client on loopback with one connection, which sends queries one after the other and reports the
// responses.
#pragma once

#include <functional>

#include "testing/fleet.hpp"

namespace tealcart::testing {

// A query as a client sends it.
struct ClientQuery {
    std::string query_class, id;
    int deadline_ms = 1000;
    std::vector<std::uint32_t> shards;
    std::vector<double> weights;  // empty for equal weights
    SearchCriteria criteria;
    bool two_phase = true;  // whether the body states the search criteria; else only the text does
    std::string key;
};
// Returns the bytes of the HTTP request.
std::string http_request_of(const ClientQuery& query);

// The parts of a response that tests check.
struct ClientResponse {
    int status = 0;
    bool complete = false;                                      // whether every shard request was answered
    std::vector<std::pair<std::uint32_t, std::string>> values;  // by shard
    struct SectionCount {
        std::uint32_t sections = 0;
        double weight = 0;
    };
    SectionCount answered, pruned, missing;
    std::vector<std::uint32_t> missing_shards;
    std::size_t bytes = 0;

    // Returns the highest-ranked rows of all values.
    std::vector<RankedRow> rows(int count) const;
};
ClientResponse read_response(int status, const std::string& body);

// Connects to a port of loopback in its constructor.
class Client {
  public:
    // `on_response` is called with each response, and with status 0 when the connection ends without one.
    Client(boost::asio::io_context& io, std::uint16_t port, std::function<void(ClientResponse)> on_response);
    ~Client() { disconnect(); }

    void send(const ClientQuery& query);
    void disconnect();
    int answers() const { return answers_; }

  private:
    std::shared_ptr<Connection> connection_;
    std::shared_ptr<ResponseReader> reader_;
    std::function<void(ClientResponse)> on_response_;
    int answers_ = 0;
};

}  // namespace tealcart::testing
