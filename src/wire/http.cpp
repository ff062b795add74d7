#include "wire/http.hpp"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>
#include <optional>

namespace tealcart {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;
using boost::system::error_code;

std::string to_string(string_view text) { return {text.data(), text.size()}; }

// Collects the body. Beast parses the head in place once it is complete, and reports its fields.
template <bool is_request>
class MessageParser : public http::basic_parser<is_request> {
  public:
    explicit MessageParser(std::size_t max_size) : max_size_(max_size) {
        this->eager(true);
        this->header_limit(max_head_bytes);
        this->body_limit(max_size);
    }

    ParseStatus feed(std::string& in) {
        std::size_t consumed = 0;
        error_code ec;
        while (!this->is_done() && !ec && consumed < in.size()) {
            const std::size_t n = this->put({in.data() + consumed, in.size() - consumed}, ec);
            consumed += n;
            if (n == 0) break;
        }
        in.erase(0, consumed);
        if (ec == http::error::need_more) ec = {};
        // What the parser leaves is a line of a chunk, or a trailer, which it does not bound.
        if (!ec && !this->is_done() && in.size() > max_head_bytes) ec = http::error::header_limit;
        if (ec) {
            error = ec;
            return ParseStatus::malformed;
        }
        return this->is_done() ? ParseStatus::complete : ParseStatus::incomplete;
    }

    ParseStatus end() {
        error_code ec;
        if (this->got_some()) this->put_eof(ec);
        return this->is_done() ? ParseStatus::complete : ParseStatus::incomplete;
    }

    std::string body;
    int status = 0;
    std::uint64_t stated_length = 0;
    error_code error;

  protected:
    void on_request_impl(http::verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int code, string_view, int, error_code&) override { status = code; }
    void on_field_impl(http::field name, string_view, string_view value, error_code& ec) override {
        // With any transfer coding other than a single "chunked", peers could disagree about the end of the
        // body.
        if (name == http::field::transfer_encoding &&
            (std::exchange(has_coding_, true) || !iequals(value, "chunked")))
            ec = http::error::bad_transfer_encoding;
        if (name == http::field::content_length &&
            (std::exchange(has_length_, true) || value.find_first_not_of("0123456789") != value.npos))
            ec = http::error::bad_content_length;
        if (name == http::field::content_length)
            std::from_chars(value.data(), value.data() + value.size(), stated_length);
    }
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view part, error_code&) override {
        reserve_for(part.size());
        body.append(part.data(), part.size());
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view part, error_code&) override {
        body.append(part.data(), part.size());
        return part.size();
    }
    void on_finish_impl(error_code&) override {}

  private:
    // Grows the body in few steps, but not beyond its stated length: the string at least doubles its buffer.
    void reserve_for(std::size_t bytes) {
        constexpr std::size_t growth = 4;
        const std::size_t needed = body.size() + bytes;
        if (needed <= body.capacity()) return;
        const std::size_t wanted = std::max(needed, growth * body.capacity());
        const std::size_t longest = stated_length >= needed ? stated_length : max_size_;
        body.reserve(std::min(wanted, std::max(needed, longest)));
    }

    const std::size_t max_size_;
    bool has_coding_ = false, has_length_ = false;  // a header stated the body's coding or length
};

// Returns whether a header field continues in the next line. Other parsers read such a field differently, so
// it could hide the lines that follow it.
bool is_folded(std::string_view in) {
    const std::string_view head = in.substr(0, in.find("\r\n\r\n"));
    return head.find("\n ") != head.npos || head.find("\n\t") != head.npos;
}

}  // namespace

class RequestReader::Parser final : public MessageParser<true> {
  public:
    using MessageParser::MessageParser;

    Request request;
    bool expects_continue = false, begun = false;

  private:
    void on_request_impl(http::verb, string_view method, string_view target, int, error_code&) override {
        request.method = to_string(method);
        const auto mark = target.find('?');
        request.path = to_string(target.substr(0, mark));
        request.query = mark == string_view::npos ? std::string() : to_string(target.substr(mark + 1));
    }
    void on_field_impl(http::field name, string_view text, string_view value, error_code& ec) override {
        MessageParser::on_field_impl(name, text, value, ec);
        if (name == http::field::expect) expects_continue = iequals(value, "100-continue");
        if (is_header_done()) return;  // ignores trailers after the body
        // A repeated header is rejected, since it is undefined which value holds.
        const auto once = [&](std::string& to) {
            if (!to.empty()) ec = http::error::bad_field;
            to = to_string(value);
        };
        if (iequals(text, "X-Request-Id")) once(request.id);
        if (iequals(text, "X-Deadline-Ms")) once(request.deadline);
        if (iequals(text, "Idempotency-Key")) once(request.key);
        if (iequals(text, "X-Retry")) request.retry = value == "1";
    }
    void on_finish_impl(error_code&) override {
        request.keep_alive = keep_alive();
        request.body = std::move(body);
    }
};

RequestReader::RequestReader(std::size_t max_size)
    : parser_(std::make_unique<Parser>(max_size)), max_size_(max_size) {}
RequestReader::~RequestReader() = default;

ParseStatus RequestReader::feed(std::string& in) {
    parser_->begun |= !in.empty();
    if (!parser_->is_header_done() && is_folded(in)) return ParseStatus::malformed;
    return parser_->feed(in);
}

int RequestReader::error_status() const {
    if (parser_->error == http::error::header_limit) return 431;
    if (parser_->error == http::error::body_limit) return 413;
    return 400;
}

bool RequestReader::expects_continue() {
    return parser_->is_header_done() && !parser_->is_done() &&
           std::exchange(parser_->expects_continue, false);
}

bool RequestReader::begun() const { return parser_->begun; }
std::size_t RequestReader::buffered_bytes() const {
    return parser_->body.capacity() + parser_->request.body.capacity();
}
Request& RequestReader::request() { return parser_->request; }
void RequestReader::next() { parser_ = std::make_unique<Parser>(max_size_); }

class ResponseReader::Parser final : public MessageParser<false> {
  public:
    using MessageParser::MessageParser;
};

ResponseReader::ResponseReader(std::size_t max_size)
    : parser_(std::make_unique<Parser>(max_size)), max_size_(max_size) {}
ResponseReader::~ResponseReader() = default;

ParseStatus ResponseReader::feed(std::string& in) { return parser_->feed(in); }
ParseStatus ResponseReader::end() { return parser_->end(); }
int ResponseReader::status() const { return parser_->status; }
bool ResponseReader::keep_alive() const { return parser_->keep_alive(); }
bool ResponseReader::too_long() const { return parser_->error == http::error::body_limit; }
std::uint64_t ResponseReader::stated_length() const { return parser_->stated_length; }
const std::string& ResponseReader::body() const { return parser_->body; }
void ResponseReader::next() { parser_ = std::make_unique<Parser>(max_size_); }

std::string write_response_head(const ResponseHead& head) {
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    char text[256];
    int n = std::snprintf(text, sizeof text, "HTTP/1.1 %d %.*s\r\nContent-Length: %zu\r\n", head.status,
                          static_cast<int>(reason.size()), reason.data(), head.length);
    std::string out(text, static_cast<std::size_t>(n));
    if (head.length > 0) out += "Content-Type: application/json\r\n";
    if (head.retry_after_ms > 0) {
        n = std::snprintf(text, sizeof text, "Retry-After: %lld.%03d\r\n",
                          static_cast<long long>(head.retry_after_ms / 1000),
                          static_cast<int>(head.retry_after_ms % 1000));
        out.append(text, static_cast<std::size_t>(n));
    }
    if (!head.allow.empty()) out.append("Allow: ").append(head.allow).append("\r\n");
    if (head.close) out += "Connection: close\r\n";
    return out += "\r\n";
}

std::string write_get_request(std::string_view host, std::string_view target) {
    std::string out = "GET ";
    out.append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    return out += "\r\n\r\n";
}

}  // namespace tealcart
