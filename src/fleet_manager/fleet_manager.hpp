// One manager: members', relays' and operators' calls over HTTP/1.1, the replicated log behind them, and the
// fleet's agreed state. Whoever leads proposes; every manager applies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "changes/change_state.hpp"
#include "fleet/fleet_state.hpp"
#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/raft_node.hpp"
#include "service/startup_config.hpp"
#include "wire/change_messages.hpp"
#include "wire/discovery_watch.hpp"
#include "wire/http_server.hpp"

namespace tealcart::manager {

class FleetManager final : private RequestHandler,
                           private ListTaker,
                           private DueHandler,
                           private StateMachine {
  public:
    // `clock_error` is added to the clock that commands carry: for tests of clocks that run apart.
    FleetManager(boost::asio::io_context& io, const FleetManagerConfig& config, std::uint64_t id,
                 const StartupConfig& launch, Nanos clock_error);

    void run();  // until SIGTERM; throws std::runtime_error once the log can't be kept

  private:
    // A member's call that waits for news.
    struct Waiting {
        std::uint64_t knows = 0;
        Nanos until = 0;
        bool agreed = false;  // its word stands in the log
    };
    // A relay's call that waits for a later version.
    struct RelayWaiting {
        Handle client;
        WatchPosition position;
        std::uint64_t number = 0;  // of its word, which was taken
        Nanos until = 0;
    };
    // Calls whose words go into the log together.
    struct Batch {
        fleet::ReportBatch words;
        std::vector<std::pair<Handle, MemberCall>> calls;
    };
    struct RelayBatch {
        changes::ReportBatch words;
        std::vector<std::pair<Handle, RelayCall>> calls;
    };

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_gone(Handle client) override;
    void on_list(const EndpointList& list) override { view_.take(list, time_.now()); }
    void on_due(Handle who, std::uint64_t what) override;
    void apply(const std::uint8_t* bytes, std::size_t size) override;
    std::vector<std::uint8_t> save() const override;
    void load(const std::vector<std::uint8_t>& bytes) override;

    void on_member(Handle client, const std::string& body);
    void on_operator(Handle client, std::string_view what, const std::string& body);
    void on_relay(Handle client, const std::string& body);
    // False where it is no path of changes.
    bool on_change(Handle client, std::string_view what, const std::string& body);
    void flush_words();
    void flush_relays();
    void answer_relay(const RelayWaiting& w);
    void tell_relays();
    // All of the commands, in this order; told once the last is applied, with what came of them.
    using Told = std::function<void(bool agreed, fleet::Effects effects)>;
    void propose(std::vector<fleet::Command> commands, Told told);
    using ChangesTold = std::function<void(bool agreed, changes::Effects effects)>;
    void propose_change(changes::Command command, ChangesTold told);
    void tell_waiting();
    void lead();
    void set_timer(Nanos at);
    void refuse(Handle client, int status, std::string_view words);
    void send_elsewhere(Handle client);
    std::string leader_address() const;

    boost::asio::io_context& io_;
    boost::asio::signal_set signals_;
    const FleetManagerConfig config_;
    const std::uint64_t id_;
    const Nanos clock_error_, tick_every_;
    EventClock time_;
    fleet::FleetState state_;
    changes::ChangeState changes_;
    EndpointView view_;
    HttpServer front_;
    DiscoveryWatch watch_;
    RaftNode raft_;
    boost::asio::steady_timer timer_;
    std::map<std::uint32_t, std::pair<Handle, Waiting>> waiting_;  // by the client's slot
    Batch batch_;
    std::map<std::uint32_t, RelayWaiting> relays_waiting_;  // by the client's slot
    RelayBatch relay_batch_;
    TimerQueue::Ticket flush_due_ = TimerQueue::none, flush_relays_due_ = TimerQueue::none;
    fleet::Effects last_effects_;
    changes::Effects last_change_effects_;
    std::uint64_t told_generation_ = 0, led_by_ = 0;
    Nanos timer_at_ = TimerQueue::never, proposed_at_ = 0, ticked_changes_at_ = 0, stop_began_ = 0,
          view_at_ = 0;
    bool changing_ = false, proposing_view_ = false, allowing_ = false, leads_ = false;
};

}  // namespace tealcart::manager
