#include "service/request_parser.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "wire/response_body.hpp"

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;
constexpr std::size_t max_token = 128;

// Ids and keys are put into the lines of frames without escaping, so they must not contain separators.
bool is_token(std::string_view text) {
    return !text.empty() && text.size() <= max_token &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != ','; });
}

std::optional<Nanos> read_deadline(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size()) return std::nullopt;
    if (value <= 0 || value > max_deadline_ms) return std::nullopt;
    return value * millisecond;
}

}  // namespace

RequestParser::RequestParser(const RouterConfig& config, std::vector<std::string> query_classes)
    : query_classes_(std::move(query_classes)), shards_(static_cast<std::uint32_t>(config.shards)) {
    for (const QueryClassConfig& query_class : config.query_classes)
        needs_key_.push_back(query_class.effect == Effect::idempotent_with_key);
}

Response RequestParser::error(int status, std::string_view message) {
    return {status, write_error(message), 0};
}

Response RequestParser::method_not_allowed(std::string_view message, std::string_view allowed) {
    return {405, write_error(message), 0, allowed};
}

// Returns the index of the query class that the path's first segment names, or the number of classes if there
// is none.
std::size_t RequestParser::find_query_class(std::string_view path) const {
    const std::string_view segment = path.substr(0, path.find('/', 1));
    const auto found =
        std::find_if(query_classes_.begin(), query_classes_.end(), [segment](const std::string& name) {
            return segment.size() == name.size() + 1 && segment[0] == '/' && segment.substr(1) == name;
        });
    return static_cast<std::size_t>(found - query_classes_.begin());
}

Nanos RequestParser::time_to_live(const Request& request) const {
    if (find_query_class(request.path) == query_classes_.size()) return 0;
    return read_deadline(request.deadline).value_or(0);
}

std::variant<QueryRequest, Response> RequestParser::parse_query(const Request& request,
                                                                std::uint16_t query_class,
                                                                bool two_phase) const {
    if (request.method != "POST") return method_not_allowed("POST only", "POST");
    if (!is_token(request.id)) return error(400, "X-Request-Id is missing or malformed");
    const auto deadline = read_deadline(request.deadline);
    if (!deadline) return error(400, "X-Deadline-Ms is missing or malformed");
    if (needs_key(query_class) && !is_token(request.key))
        return error(400, "Idempotency-Key is missing or malformed");
    auto body = read_query(request.body, shards_, two_phase);
    if (const auto* wrong = std::get_if<QueryBodyError>(&body)) return error(400, wrong->message);
    return QueryRequest{query_class, *deadline, std::get<QueryBody>(std::move(body))};
}

}  // namespace tealcart
