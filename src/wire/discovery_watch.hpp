// The watch on discovery's list of data nodes: one call after the other on a kept connection, made anew when
// it breaks or stays silent for longer than the call may wait. Once told of another address it goes there at
// once; the call that is out at the old one may still bring news until the new one has spoken.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tables/slots.hpp"
#include "tables/timekeeper.hpp"
#include "wire/bodies.hpp"
#include "wire/http.hpp"

namespace tealcart {

class ListTaker {
  public:
    virtual ~ListTaker() = default;
    virtual void on_list(const TargetList& list) = 0;
};

class DiscoveryWatch final : public DueHandler {
  public:
    DiscoveryWatch(boost::asio::io_context& io, Timekeeper& time, ListTaker& taker, HostPort address,
                   std::uint32_t places);

    // Watches for what is newer than `generation`.
    void start(std::uint64_t generation);
    void stop();
    void follow(HostPort address);
    void on_due(Handle, std::uint64_t what) override;

  private:
    struct Connection;
    using Life = std::shared_ptr<Connection>;

    void connect();
    void ask();
    void read(const Life& c);
    void take_answer(const Life& c);
    void lose(const Life& c, const char* why);
    static void end(Life& connection);
    void give_up(const char* why);

    boost::asio::io_context& io_;
    Timekeeper& time_;
    ListTaker& taker_;
    HostPort address_;
    const std::uint32_t places_;
    std::uint64_t generation_ = 0;
    Nanos asked_at_ = 0;
    bool whole_ = false;          // the next call asks for the whole list
    bool silent_before_ = false;  // told in the log
    // Each connection has a life of its own: what completes for an earlier one is void.
    struct Connection {
        explicit Connection(boost::asio::io_context& io);
        boost::asio::ip::tcp::socket socket;
        std::string out, in;
        std::array<char, 8192> buffer;
        AnswerReader reader;
        bool asked = false;  // a call is out on it
    };
    Life connection_, former_;  // former_: at the address before
    Deadlines::Ticket due_ = Deadlines::none;
};

}  // namespace tealcart
