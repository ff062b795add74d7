#include "testing/client.hpp"

#include <nlohmann/json.hpp>

namespace tealcart::testing {

using Json = nlohmann::json;

constexpr std::size_t max_response_bytes = 1 << 20;

std::string http_request_of(const ClientQuery& query) {
    Json body;
    const std::size_t count = query.shards.size();
    body["segments"] = Json::array();
    for (std::size_t i = 0; i < count; ++i)
        body["segments"].push_back(
            {{"segment", query.shards[i]},
             {"boost", query.weights.empty() ? 1.0 / static_cast<double>(count) : query.weights[i]}});
    body["text"] = std::to_string(query.criteria.rows) + "\n" + write_search_criteria(query.criteria);
    if (query.two_phase) {
        Json& find = body["find"] = {{"rows", query.criteria.rows}, {"terms", query.criteria.terms}};
        find["ranges"] = Json::array();
        for (const FieldRange& range : query.criteria.ranges)
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

ClientResponse read_response(int status, const std::string& body) {
    ClientResponse response;
    response.status = status;
    response.bytes = body.size();
    const Json parsed = Json::parse(body, nullptr, false);
    if (status != 200 || !parsed.is_object()) return response;
    response.complete = parsed.value("all_in", false);
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

Client::Client(boost::asio::io_context& io, std::uint16_t port,
               std::function<void(ClientResponse)> on_response)
    : reader_(std::make_shared<ResponseReader>(max_response_bytes)), on_response_(std::move(on_response)) {
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    connection_ =
        std::make_shared<Connection>(std::move(socket), [this, reader = reader_](Connection& connection) {
            while (!connection.received.empty()) {
                const ParseStatus parse_status = reader->feed(connection.received);
                if (parse_status != ParseStatus::complete) return parse_status == ParseStatus::incomplete;
                ClientResponse response = read_response(reader->status(), reader->body());
                reader->next();
                ++answers_;
                on_response_(std::move(response));
                if (!connection.open) return false;
            }
            return true;
        });
    connection_->on_end = [this] { on_response_({}); };
    connection_->read();
}

void Client::send(const ClientQuery& query) { connection_->send(http_request_of(query)); }

void Client::disconnect() {
    connection_->on_end = nullptr;
    connection_->close(false);
}

}  // namespace tealcart::testing
