// A client on loopback: one connection, queries one after the other, answers as they come.
#pragma once

#include <functional>

#include "testing/fleet.hpp"

namespace tealcart::testing {

struct ClientQuery {
    std::string query_class, id;
    int deadline_ms = 1000;
    std::vector<std::uint32_t> shards;
    std::vector<double> weights;  // empty: even
    SearchCriteria find;
    bool two_phase = true;  // the find stands in the body, else in the text alone
    std::string key;
};
// The request's bytes.
std::string request_of(const ClientQuery& asking);

struct ClientResponse {
    int status = 0;
    bool whole = false;
    std::vector<std::pair<std::uint32_t, std::string>> values;  // by shard
    struct Of {
        std::uint32_t sections = 0;
        double weight = 0;
    };
    Of answered, pruned, missing;
    std::vector<std::uint32_t> missing_shards;
    std::size_t bytes = 0;

    // The first rows over all values.
    std::vector<RankedRow> rows(int most) const;
};
ClientResponse read_answer(int status, const std::string& body);

class Client {
  public:
    // `done` is told of each answer, and with status 0 of an end without one.
    Client(boost::asio::io_context& io, std::uint16_t port, std::function<void(ClientResponse)> done);
    ~Client() { leave(); }

    void ask(const ClientQuery& asking);
    void leave();
    int answers() const { return answers_; }

  private:
    std::shared_ptr<Connection> connection_;
    std::shared_ptr<AnswerReader> reader_;
    std::function<void(ClientResponse)> done_;
    int answers_ = 0;
};

}  // namespace tealcart::testing
