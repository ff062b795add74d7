#include "testing/client.hpp"

#include <nlohmann/json.hpp>

namespace tealcart::testing {

using Json = nlohmann::json;

std::string request_of(const ClientQuery& query) {
    Json body;
    const std::size_t count = query.shards.size();
    body["segments"] = Json::array();
    for (std::size_t i = 0; i < count; ++i)
        body["segments"].push_back(
            {{"segment", query.shards[i]},
             {"boost", query.weights.empty() ? 1.0 / static_cast<double>(count) : query.weights[i]}});
    body["text"] = std::to_string(query.find.rows) + "\n" + write_search_criteria(query.find);
    if (query.two_phase) {
        Json& find = body["find"] = {{"rows", query.find.rows}, {"terms", query.find.terms}};
        find["ranges"] = Json::array();
        for (const FieldRange& range : query.find.ranges)
            find["ranges"].push_back({{"field", range.field}, {"from", range.from}, {"to", range.to}});
    }
    const std::string text = body.dump();
    std::string head = "POST /" + query.query_class + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + query.id +
                       "\r\nX-Deadline-Ms: " + std::to_string(query.deadline_ms) + "\r\n";
    if (!query.key.empty()) head += "Idempotency-Key: " + query.key + "\r\n";
    return head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::vector<RankedRow> ClientResponse::rows(int count) const {
    std::vector<RankedRow> all;
    for (const auto& [_, value] : values)
        for (const RankedRow& row : parse_rows(value)) all.push_back(row);
    return top_rows(std::move(all), count);
}

ClientResponse read_answer(int status, const std::string& body) {
    ClientResponse response;
    response.status = status;
    response.bytes = body.size();
    const Json parsed = Json::parse(body, nullptr, false);
    if (status != 200 || !parsed.is_object()) return response;
    response.whole = parsed.value("all_in", false);
    for (const Json& match : parsed.value("matches", Json::array()))
        response.values.emplace_back(match.value("segment", 0U), match.value("payload", ""));
    const auto section_count = [&parsed](const char* name) {
        const Json counts = parsed.value(name, Json::object());
        return ClientResponse::SectionCount{counts.value("sections", 0U), counts.value("weight", 0.0)};
    };
    response.answered = section_count("answered"), response.pruned = section_count("pruned"),
    response.missing = section_count("missing");
    if (parsed.contains("missing"))
        for (const Json& shard : parsed["missing"].value("segments", Json::array()))
            response.missing_shards.push_back(shard.get<std::uint32_t>());
    return response;
}

Client::Client(boost::asio::io_context& io, std::uint16_t port, std::function<void(ClientResponse)> done)
    : reader_(std::make_shared<ResponseReader>(1 << 20)), done_(std::move(done)) {
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    connection_ =
        std::make_shared<Connection>(std::move(socket), [this, reader = reader_](Connection& connection) {
            while (!connection.in.empty()) {
                const ParseStatus reading = reader->feed(connection.in);
                if (reading != ParseStatus::complete) return reading == ParseStatus::incomplete;
                ClientResponse response = read_answer(reader->status(), reader->body());
                reader->next();
                ++answers_;
                done_(std::move(response));
                if (!connection.open) return false;
            }
            return true;
        });
    connection_->on_end = [this] { done_({}); };
    connection_->read();
}

void Client::ask(const ClientQuery& query) { connection_->send(request_of(query)); }

void Client::disconnect() {
    connection_->on_end = nullptr;
    connection_->close(false);
}

}  // namespace tealcart::testing
