// HTTP/1.1 as clients and discovery speak it: messages in from bytes, heads out to bytes. No sockets.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tealcart {

constexpr std::size_t max_head = 8 * 1024;
constexpr std::size_t max_body = 64 * 1024;  // of the protocol's page

enum class Reading : std::uint8_t { more, done, bad };

struct Request {
    std::string method, path;  // the path without its query
    std::string id, deadline, key;
    bool retry = false, keep_alive = true;
    std::string body;
    std::string query = {};  // what stands behind the path's '?'
};

// Of a watch since its start: calls made, and bytes over its connections as they are written and read.
struct WireCount {
    std::uint64_t calls = 0, in = 0, out = 0;
};

// Reads requests one after the other; a body is let in up to `longest`.
class RequestReader {
  public:
    explicit RequestReader(std::size_t longest = max_body);
    ~RequestReader();

    // Takes what it can from the front of `in`. With `done`, the rest belongs to the next request.
    Reading feed(std::string& in);
    // What a malformed request is answered with; the connection is to be closed then.
    int error_status() const;
    // True once for a request whose client waits for word before it sends the body.
    bool owes_continue();
    bool begun() const;
    Request& request();
    void next();  // forgets the request that is done

  private:
    class Parser;
    std::unique_ptr<Parser> parser_;
    std::size_t longest_;
};

// Reads answers one after the other; the body is let in up to `longest`.
class AnswerReader {
  public:
    explicit AnswerReader(std::size_t longest);
    ~AnswerReader();

    Reading feed(std::string& in);
    // The stream has ended cleanly, and all of it has been fed: done if that is where the answer ends.
    Reading end();
    int status() const;
    bool keep_alive() const;
    // With `bad`: the body is longer than `longest`; its length as stated, 0 where none was.
    bool too_long() const;
    std::uint64_t stated_length() const;
    const std::string& body() const;
    void next();

  private:
    class Parser;
    std::unique_ptr<Parser> parser_;
    std::size_t longest_;
};

struct AnswerHead {
    int status = 200;
    std::size_t length = 0;
    std::int64_t retry_after_ms = 0;  // 0 for none
    bool close = false;
    std::string_view allow = {};  // the method that would be taken, with 405
};

std::string write_answer_head(const AnswerHead& head);
std::string write_get(std::string_view host, std::string_view target);

}  // namespace tealcart
