// A member's calls to the stewards: one after the other on a kept connection, each of which renews the lease
// and waits for news; made anew, at the next steward, when it breaks or stays silent for longer than it may
// wait.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tables/timekeeper.hpp"
#include "terms/host_port.hpp"
#include "wire/http.hpp"
#include "wire/list_bound.hpp"
#include "wire/member_words.hpp"

namespace tealcart {

class StewardTaker {
  public:
    virtual ~StewardTaker() = default;
    // What is to be said now.
    virtual MemberCall word() = 0;
    // The call that was sent at `sent` was granted. StewardWatch::next is to be called once the news is
    // acted on.
    virtual void on_agreed(Nanos sent, const MemberAnswer& answer) = 0;
    virtual void on_outlived(std::uint64_t last_life) = 0;
};

class StewardWatch final : public DueHandler {
  public:
    StewardWatch(boost::asio::io_context& io, Timekeeper& time, StewardTaker& taker,
                 std::vector<HostPort> stewards, ListBound bound = {});

    void start() { connect(); }
    void stop();
    // The next call, after an answer.
    void next();
    // Whatever is out is dropped, and a call made anew: something has to be said at once.
    void say_now();
    const WireCount& wire() const { return wire_; }
    void on_due(Handle, std::uint64_t what) override;

  private:
    struct Connection {
        Connection(boost::asio::io_context& io, std::size_t longest);
        boost::asio::ip::tcp::socket socket;
        std::string out, in;
        std::array<char, 4096> buffer;
        AnswerReader reader;
    };
    using Life = std::shared_ptr<Connection>;

    void connect();
    void ask();
    void read(const Life& c);
    void take_answer(const Life& c);
    void give_up(const char* why);
    void go_to(std::size_t steward, Nanos pause);
    void end();

    boost::asio::io_context& io_;
    Timekeeper& time_;
    StewardTaker& taker_;
    const std::vector<HostPort> stewards_;
    const ListBound bound_;
    std::size_t at_ = 0;  // of the stewards
    int failed_ = 0;      // calls in a row
    Nanos sent_at_ = 0, wait_ = 0;
    bool owes_next_ = false, told_silent_ = false, told_long_ = false;
    WireCount wire_;
    Life connection_;
    Deadlines::Ticket due_ = Deadlines::none;
};

}  // namespace tealcart
