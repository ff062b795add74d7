// HTTP/1.1 as clients and discovery speak it: messages in from bytes, heads out to bytes. No sockets.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tealcart {

// In bytes, by the protocol's page.
constexpr std::size_t max_head_bytes = 8UL * 1024;
constexpr std::size_t max_body_bytes = 64UL * 1024;

// What reading a message came to: more bytes are needed, it is complete, or it is malformed.
enum class ParseStatus : std::uint8_t { incomplete, complete, malformed };

// A complete HTTP request.
struct Request {
    std::string method, path;  // the path without its query
    std::string id, deadline,
        key;             // the headers X-Request-Id, X-Deadline-Ms and Idempotency-Key; empty: none
    bool retry = false;  // X-Retry: 1
    bool keep_alive = true;
    std::string body;
    std::string query = {};  // what stands behind the path's '?'
};

// Traffic of a watch since its start: polls sent, and bytes over its connections as they are read and
// written.
struct TrafficCounters {
    std::uint64_t requests = 0, bytes_received = 0, bytes_sent = 0;
};

// Reads requests one after the other; bodies are accepted up to `max_size` bytes.
class RequestReader {
  public:
    explicit RequestReader(std::size_t max_size = max_body_bytes);
    ~RequestReader();

    // Reads what it can from the front of `in`, and removes it. With `done`, the rest belongs to the next
    // request.
    ParseStatus feed(std::string& in);
    // The status that a malformed request is answered with; the connection is to be closed then.
    int error_status() const;
    // True once for a request whose client expects "100 Continue" before it sends the body.
    bool expects_continue();
    // Whether any byte of the current request has been read.
    bool begun() const;
    Request& request();
    // Begins with the next request, once one is done.
    void next();

  private:
    class Parser;
    std::unique_ptr<Parser> parser_;
    std::size_t max_size_;
};

// Reads responses one after the other; bodies are accepted up to `max_size` bytes.
class ResponseReader {
  public:
    explicit ResponseReader(std::size_t max_size);
    ~ResponseReader();

    // As RequestReader::feed.
    ParseStatus feed(std::string& in);
    // The stream has ended cleanly, and all of it has been fed: `done` if that is where the response ends.
    ParseStatus end();
    int status() const;
    bool keep_alive() const;
    // With `bad`: the body is longer than `max_size`; its length as stated, 0 where none was.
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
    std::int64_t retry_after_ms = 0;  // 0 for none
    bool close = false;
    std::string_view allow = {};  // the method that would be accepted, with 405
};

std::string write_response_head(const ResponseHead& head);
std::string write_get_request(std::string_view host, std::string_view target);

}  // namespace tealcart
