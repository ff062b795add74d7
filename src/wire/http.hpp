// Parses and writes the HTTP/1.1 messages that are exchanged with clients and discovery. Does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tealcart {

// Limits of the protocol with clients.
constexpr std::size_t max_head_bytes = 8UL * 1024;
constexpr std::size_t max_body_bytes = 64UL * 1024;

// The state of a message after some bytes were parsed. An incomplete one needs more bytes.
enum class ParseStatus : std::uint8_t { incomplete, complete, malformed };

// A complete HTTP request.
struct Request {
    std::string method, path;  // the path without its query string
    // The headers X-Request-Id, X-Deadline-Ms and Idempotency-Key, empty if absent.
    std::string id, deadline, key;
    bool retry = false;  // X-Retry: 1
    bool keep_alive = true;
    std::string body;
    std::string query = {};  // the query string, without its '?'
};

// The traffic of a watch since its start: polls sent, and bytes received and sent over its connections.
struct TrafficCounters {
    std::uint64_t requests = 0, bytes_received = 0, bytes_sent = 0;
};

// Parses consecutive requests of a connection. Accepts bodies of up to `max_size` bytes.
class RequestReader {
  public:
    explicit RequestReader(std::size_t max_size = max_body_bytes);
    ~RequestReader();

    // Parses bytes from the front of `in` and removes them. Once a request is complete, the remaining bytes
    // belong to the next one.
    ParseStatus feed(std::string& in);
    // Returns the status for the response to a malformed request. The connection must be closed after it.
    int error_status() const;
    // Returns true once for a request whose client expects "100 Continue" before it sends the body.
    bool expects_continue();
    // Returns whether any byte of the current request has been parsed.
    bool begun() const;
    // Returns the size of the memory that the request's body takes.
    std::size_t buffered_bytes() const;
    Request& request();
    // Starts the next request and frees the buffers of the current one.
    void next();

  private:
    class Parser;
    std::unique_ptr<Parser> parser_;
    std::size_t max_size_;
};

// Parses consecutive responses of a connection. Accepts bodies of up to `max_size` bytes.
class ResponseReader {
  public:
    explicit ResponseReader(std::size_t max_size);
    ~ResponseReader();

    // See RequestReader::feed.
    ParseStatus feed(std::string& in);
    // Must be called when the stream has ended cleanly and all of it was fed. Returns `complete` if the
    // response ends with the stream.
    ParseStatus end();
    int status() const;
    bool keep_alive() const;
    // For a malformed response: whether its body is longer than `max_size`, and its stated length, 0 if none
    // was stated.
    bool too_long() const;
    std::uint64_t stated_length() const;
    const std::string& body() const;
    void next();

  private:
    class Parser;
    std::unique_ptr<Parser> parser_;
    std::size_t max_size_;
};

// The head of a response.
struct ResponseHead {
    int status = 200;
    std::size_t length = 0;
    std::int64_t retry_after_ms = 0;  // 0 for no header
    bool close = false;
    std::string_view allow = {};  // with 405: the allowed method
};

std::string write_response_head(const ResponseHead& head);
std::string write_get_request(std::string_view host, std::string_view target);

}  // namespace tealcart
