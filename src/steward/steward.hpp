// One steward: members' and operators' calls over HTTP/1.1, the replicated log behind them, and the fleet's
// agreed state. Whoever leads proposes; every steward applies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "fleet/fleet_state.hpp"
#include "service/launch.hpp"
#include "steward/node_view.hpp"
#include "steward/raft_node.hpp"
#include "steward/requests.hpp"
#include "steward/steward_terms.hpp"
#include "wire/client_front.hpp"
#include "wire/discovery_watch.hpp"

namespace tealcart::steward {

class Steward final : private RequestTaker, private ListTaker, private DueHandler, private LogMachine {
  public:
    // `clock_error` is added to the clock that commands carry: for tests of clocks that run apart.
    Steward(boost::asio::io_context& io, const StewardTerms& terms, std::uint64_t id, const Launch& launch,
            Nanos clock_error);

    void run();  // until SIGTERM; throws std::runtime_error once the log can't be kept

  private:
    // A member's call that waits for news.
    struct Waiting {
        std::uint64_t knows = 0;
        Nanos until = 0;
        bool agreed = false;  // its word stands in the log
    };
    // Calls whose words go into the log together.
    struct Batch {
        fleet::Words words;
        std::vector<std::pair<Handle, MemberCall>> calls;
    };

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_gone(Handle client) override { waiting_.erase(client.slot); }
    void on_list(const TargetList& list) override { view_.take(list, time_.now()); }
    void on_due(Handle who, std::uint64_t what) override;
    void apply(const std::uint8_t* bytes, std::size_t size) override;
    std::vector<std::uint8_t> save() const override { return state_.save(); }
    void load(const std::vector<std::uint8_t>& bytes) override {
        state_.load(bytes);
        view_.look_at_all();
    }

    void on_member(Handle client, const std::string& body);
    void on_operator(Handle client, std::string_view what, const std::string& body);
    void flush_words();
    // All of the commands, in this order; told once the last is applied, with what came of them.
    using Told = std::function<void(bool agreed, std::vector<fleet::Effect> effects)>;
    void propose(std::vector<fleet::Command> commands, Told told);
    void tell_waiting();
    void lead();
    void set_timer(Nanos at);
    void refuse(Handle client, int status, std::string_view words);
    void send_elsewhere(Handle client);
    std::string leader_address() const;

    boost::asio::io_context& io_;
    boost::asio::signal_set signals_;
    const StewardTerms terms_;
    const std::uint64_t id_;
    const Nanos clock_error_, tick_every_;
    Timekeeper time_;
    fleet::FleetState state_;
    NodeView view_;
    ClientFront front_;
    DiscoveryWatch watch_;
    RaftNode raft_;
    boost::asio::steady_timer timer_;
    std::map<std::uint32_t, std::pair<Handle, Waiting>> waiting_;  // by the client's slot
    Batch batch_;
    Deadlines::Ticket flush_due_ = Deadlines::none;
    std::vector<fleet::Effect> last_effects_;
    std::uint64_t told_generation_ = 0, led_by_ = 0;
    Nanos timer_at_ = Deadlines::never, proposed_at_ = 0, stop_began_ = 0, view_at_ = 0;
    bool changing_ = false, proposing_view_ = false, leads_ = false;
};

}  // namespace tealcart::steward
