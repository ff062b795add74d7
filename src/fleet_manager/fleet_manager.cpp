#include "fleet_manager/fleet_manager.hpp"

#include <algorithm>
#include <csignal>

#include "fleet_manager/change_requests.hpp"
#include "fleet_manager/log_entries.hpp"
#include "log/log.hpp"
#include "wire/answer_body.hpp"

namespace tealcart::manager {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr Nanos words_wait = 5 * ms;     // of members' words for others that come at the same time
constexpr std::size_t max_words = 2000;  // in one entry of the log
constexpr std::size_t max_clients = 20'000;
constexpr std::size_t max_call = 2 * 1024 * 1024;  // of a relay with all its members; of a publisher
constexpr Nanos stall = 5 * second, view_every = 100 * ms;
constexpr int handlers_a_turn = 4096;
enum Due : std::uint64_t { flush, flush_of_relays };

// Why a relay's word was not taken, where to say all of it would not help.
std::string refusal_of(const std::vector<changes::Effect>& effects, const std::string& relay) {
    for (const changes::Effect& e : effects)
        if (e.kind == changes::Effect::stale && !e.names.empty() && e.names[0] == relay &&
            (e.why == "malformed" || e.why.rfind("no room", 0) == 0))
            return e.why;
    return {};
}

}  // namespace

FleetManager::FleetManager(boost::asio::io_context& io, const FleetManagerConfig& config, std::uint64_t id,
                           const StartupConfig& launch, Nanos clock_error)
    : io_(io), signals_(io, SIGTERM, SIGINT), config_(config), id_(id), clock_error_(clock_error),
      tick_every_(std::min({250 * ms, config.budgets.lease / 20,
                            config.takes_changes ? config.changes.lease / 20 : 250 * ms})),
      state_(config.budgets), changes_(config.changes), view_(launch.config),
      front_(io, time_, *this, max_clients, stall, config.takes_changes ? max_call : max_body),
      watch_(io, time_, *this, launch.discovery, launch.config.discovery,
             static_cast<std::uint32_t>(launch.config.places), launch.seed, launch.list_bound),
      raft_(io,
            {id, config.managers.at(id).raft, config.managers.at(id).bind, config.managers.at(id).folder,
             config.election},
            *this),
      timer_(io) {
    const OneManager& self = config_.managers.at(id);
    raft_.start();
    front_.listen(self.http_bind.host, self.http_bind.port);
    watch_.start(0);  // its view begins with nothing, whatever the configuration knows
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) stop_began_ = time_.now();
    });
    log_line("steward %llu of %s: members and operators at %s:%u, generation %llu",
             static_cast<unsigned long long>(id), config_.fleet.c_str(), self.http.host.c_str(),
             front_.port(), static_cast<unsigned long long>(state_.generation()));
}

void FleetManager::run() {
    Nanos wait = 0;
    while (stop_began_ == 0) {
        set_timer(std::min(time_.due.next(), time_.now() + std::min(wait, tick_every_)));
        io_.run_one();
        for (int i = 0; i < handlers_a_turn && io_.poll_one() > 0; ++i) {
        }
        time_.due.fire_due(time_.now());
        lead();
        wait = raft_.turn();
        tell_waiting();
        tell_relays();
    }
    log_line("stopping");
    front_.close_all();
    watch_.stop();
    raft_.close();
}

// Set anew only for an earlier time: one that is put off would wake the loop for nothing.
void FleetManager::set_timer(Nanos at) {
    at = std::max(at, time_.now());
    if (timer_at_ != TimerQueue::never && timer_at_ <= at) return;
    timer_at_ = at;
    timer_.expires_at(time_.steady(at));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) timer_at_ = TimerQueue::never;
    });
}

std::string FleetManager::leader_address() const {
    const auto it = config_.managers.find(raft_.leader());
    return it == config_.managers.end() ? std::string()
                                        : it->second.http.host + ":" + std::to_string(it->second.http.port);
}

void FleetManager::refuse(Handle client, int status, std::string_view words) {
    front_.answer(client, {status, write_error(words), 0});
}

void FleetManager::send_elsewhere(Handle client) {
    const std::string leader = leader_address();
    if (leader.empty() || raft_.leader() == id_) return refuse(client, 503, "no steward leads now");
    front_.answer(client, {421, write_elsewhere(leader), 0});
}

void FleetManager::on_client_disconnected(Handle client) {
    waiting_.erase(client.slot);
    relays_waiting_.erase(client.slot);
}

void FleetManager::on_request(Handle client, Request& request, Nanos) {
    const std::string_view path = request.path;
    if (!config_.takes_changes && (path == "/fleet/changes" || path == relay_path))
        return refuse(client, 404, "the stewards' file has no 'changes' block");
    if (path == "/fleet/changes") {
        if (request.method != "GET") return front_.answer(client, {405, write_error("GET only"), 0, "GET"});
        const ChangeFigures figures{id_, raft_.leader(), config_.fleet, leader_address(),
                                    relays_waiting_.size()};
        return front_.answer(client, {200, write_changes(changes_, figures), 0});
    }
    if (path == "/-/ready" || path == "/fleet/status") {
        if (request.method != "GET") return front_.answer(client, {405, write_error("GET only"), 0, "GET"});
        if (path == "/-/ready")
            return raft_.leader() == 0 ? refuse(client, 503, "no steward leads now")
                                       : front_.answer(client, {200, {}, 0});
        const ManagerFigures figures{id_,
                                     raft_.leader(),
                                     raft_.applied(),
                                     config_.fleet,
                                     leader_address(),
                                     waiting_.size(),
                                     view_.stale(time_.now()) ? 45 * second : 0};
        return front_.answer(client, {200, write_status(state_, figures, request.query == "all=1"), 0});
    }
    constexpr std::string_view before = "/fleet/";
    if (path.substr(0, before.size()) != before) return refuse(client, 404, "no such path");
    if (request.method != "POST") return front_.answer(client, {405, write_error("POST only"), 0, "POST"});
    if (path == member_path) return on_member(client, request.body);
    if (path == relay_path) return on_relay(client, request.body);
    if (on_change(client, path.substr(before.size()), request.body)) return;
    on_operator(client, path.substr(before.size()), request.body);
}

// ReportBatch that come within a few ms go into the log as one entry.
void FleetManager::on_member(Handle client, const std::string& body) {
    std::string wrong;
    auto call = read_member_call(body, wrong);
    if (!call) return refuse(client, 400, wrong);
    if (!raft_.leads()) return send_elsewhere(client);
    const auto known = state_.members().find(call->name);
    if (known != state_.members().end() && known->second.incarnation > call->incarnation)
        return front_.answer(client, {409, write_outlived(known->second.incarnation), 0});
    if (call->leaves) {
        propose({{"", 0, fleet::Leave{call->name, call->incarnation}}}, [this, client](bool agreed, auto) {
            if (!agreed) return refuse(client, 503, "not agreed");
            front_.answer(client, {200, write_member_answer(answer_of(state_)), 0});
        });
        return;
    }
    const fleet::Join join = join_of(*call);
    const bool same = known != state_.members().end() && known->second.incarnation == join.incarnation &&
                      known->second.version == join.version && known->second.digest == join.digest &&
                      known->second.zone == join.zone && known->second.serve_on == join.serve_on &&
                      known->second.role == join.role;
    if (!same) batch_.words.joins.push_back(join);
    batch_.words.renewals.push_back(renew_of(*call));
    batch_.calls.emplace_back(client, std::move(*call));
    if (batch_.calls.size() >= max_words) return flush_words();
    if (flush_due_ == TimerQueue::none)
        flush_due_ = time_.due.add(time_.now() + words_wait, *this, Handle{}, flush);
}

void FleetManager::on_due(Handle, std::uint64_t what) {
    if (what == flush_of_relays) {
        flush_relays_due_ = TimerQueue::none;
        return flush_relays();
    }
    flush_due_ = TimerQueue::none;
    flush_words();
}

void FleetManager::flush_words() {
    time_.due.drop(flush_due_);
    Batch batch = std::exchange(batch_, {});
    if (batch.calls.empty()) return;
    auto calls = std::make_shared<decltype(batch.calls)>(std::move(batch.calls));
    propose({{"", 0, std::move(batch.words)}}, [this, calls](bool agreed, auto) {
        for (const auto& [client, call] : *calls) {
            if (!agreed) {
                send_elsewhere(client);
                continue;
            }
            const auto known = state_.members().find(call.name);
            if (known != state_.members().end() && known->second.incarnation > call.incarnation)
                front_.answer(client, {409, write_outlived(known->second.incarnation), 0});
            else
                waiting_[client.slot] = {client, {call.knows, time_.now() + call.wait, true}};
        }
    });
}

void FleetManager::tell_waiting() {
    const Nanos now = time_.now();
    std::string body;  // the same for all
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const auto& [client, w] = it->second;
        // What a member knows may also be of a manager that was ahead: then it waits its time.
        if (state_.generation() <= w.knows && now < w.until) {
            ++it;
            continue;
        }
        if (body.empty()) body = write_member_answer(answer_of(state_));
        const Handle to = client;
        it = waiting_.erase(it);
        front_.answer(to, {200, body, 0});
    }
}

void FleetManager::on_relay(Handle client, const std::string& body) {
    std::string wrong;
    auto call = read_relay_call(body, wrong);
    if (!call) return refuse(client, 400, wrong);
    if (!raft_.leads()) return send_elsewhere(client);
    if (changes_.knows_later_life(call->word.relay, call->word.incarnation))
        return front_.answer(client, {409, write_outlived(changes_.last_incarnation(call->word.relay)), 0});
    relay_batch_.words.words.push_back(call->word);
    relay_batch_.calls.emplace_back(client, std::move(*call));
    if (relay_batch_.calls.size() >= max_words) return flush_relays();
    if (flush_relays_due_ == TimerQueue::none)
        flush_relays_due_ = time_.due.add(time_.now() + words_wait, *this, Handle{}, flush_of_relays);
}

void FleetManager::flush_relays() {
    time_.due.drop(flush_relays_due_);
    RelayBatch batch = std::exchange(relay_batch_, {});
    if (batch.calls.empty()) return;
    auto calls = std::make_shared<decltype(batch.calls)>(std::move(batch.calls));
    propose_change(changes::Command{"", 0, std::move(batch.words)}, [this, calls](bool agreed, auto effects) {
        for (const auto& [client, call] : *calls) {
            const changes::RelayReport& word = call.word;
            if (!agreed) {
                send_elsewhere(client);
            } else if (changes_.knows_later_life(word.relay, word.incarnation)) {
                front_.answer(client, {409, write_outlived(changes_.last_incarnation(word.relay)), 0});
            } else if (changes_.last_number(word.relay, word.incarnation) >= word.number) {
                relays_waiting_[client.slot] = {client, call.watched, word.number,
                                                time_.now() + call.watched.wait};
            } else if (const std::string why = refusal_of(effects, word.relay); !why.empty()) {
                refuse(client, 503, why);
            } else {  // its lease was over, or it is new to them; a whole word may have been taken before
                      // that
                ChangesAnswer answer;
                answer.version = changes_.version();
                answer.say_all = true;
                answer.drift = changes_.limits().drift;
                front_.answer(client, {200, write_changes_answer(answer), 0});
            }
        }
    });
}

void FleetManager::answer_relay(const RelayWaiting& w) {
    ChangesAnswer answer;
    answer.lease = changes_.limits().lease;
    answer.taken = w.number;
    answer.drift = changes_.limits().drift;
    put_news(changes_, w.watched, answer);
    front_.answer(w.client, {200, write_changes_answer(answer), 0});
}

void FleetManager::tell_relays() {
    const Nanos now = time_.now();
    for (auto it = relays_waiting_.begin(); it != relays_waiting_.end();) {
        // What a relay knows may also be of a manager that was ahead: then it waits its time.
        if (changes_.version() <= it->second.watched.knows && now < it->second.until) {
            ++it;
            continue;
        }
        const RelayWaiting w = std::move(it->second);
        it = relays_waiting_.erase(it);
        answer_relay(w);
    }
}

bool FleetManager::on_change(Handle client, std::string_view what, const std::string& body) {
    if (what != "publish" && what != "back" && what != "changes-resume" && what != "entry") return false;
    std::string wrong;
    auto call = read_change_request(body, wrong);
    if (!config_.takes_changes) {
        refuse(client, 404, "the stewards' file has no 'changes' block");
    } else if (!call) {
        refuse(client, 400, wrong);
    } else if (!raft_.leads()) {
        send_elsewhere(client);
    } else if (what == "entry") {
        const auto entry = write_entry(changes_, call->key);
        if (!entry) return refuse(client, 404, "there is no such key"), true;
        front_.answer(client, {200, *entry, 0});
    } else {
        changes::Command command{std::move(call->id), 0, changes::Resume{}};
        if (what == "publish")
            command.what = changes::Publish{std::move(call->asker), std::move(call->set),
                                            std::move(call->removed), call->based_on};
        if (what == "back") command.what = changes::Rollback{std::move(call->asker), call->to};
        propose_change(std::move(command),
                       [this, client](bool agreed, const std::vector<changes::Effect>& effects) {
                           if (!agreed)
                               return refuse(client, 503, "not agreed: ask again, under the same id");
                           front_.answer(client, {200, write_effects(effects), 0});
                       });
    }
    return true;
}

void FleetManager::on_operator(Handle client, std::string_view what, const std::string& body) {
    std::string wrong;
    const auto call = read_operator_call(body, wrong);
    if (!call) return refuse(client, 400, wrong);
    if (!raft_.leads()) return send_elsewhere(client);
    std::vector<fleet::Command> commands;
    const auto add = [&](auto command) {
        commands.push_back({call->id + "/" + std::to_string(commands.size()), 0, std::move(command)});
    };
    if (what == "ask") {
        std::vector<fleet::Target> targets = call->targets;
        if (!call->zone.empty())
            for (const auto& [name, node] : state_.nodes())
                if (node.zone == call->zone) targets.push_back({false, name});
        if (targets.empty()) return refuse(client, 404, "no such target is known");
        for (const fleet::Target& t : targets)
            commands.push_back({call->id + "/" + (t.router ? "router/" : "node/") + t.name, 0,
                                fleet::RequestRemoval{call->asker, t}});
    } else if (what == "undo") {
        std::vector<std::uint64_t> requests = call->requests;
        const std::set<fleet::Target> targets(call->targets.begin(), call->targets.end());
        for (const auto& [id, r] : state_.requests()) {
            const auto node = r.target.router ? state_.nodes().end() : state_.nodes().find(r.target.name);
            const bool of_zone =
                !call->zone.empty() && node != state_.nodes().end() && node->second.zone == call->zone;
            if (of_zone || targets.contains(r.target)) requests.push_back(id);
        }
        if (requests.empty()) return refuse(client, 404, "no request for it is open");
        for (const std::uint64_t id : requests)
            commands.push_back({call->id + "/" + std::to_string(id), 0, fleet::Undo{id}});
    } else if (what == "halt") {
        add(fleet::Halt{call->why.empty() ? "by " + call->asker : call->why});
    } else if (what == "resume") {
        add(fleet::Resume{});
    } else if (what == "forget") {
        add(fleet::Forget{call->name});
        if (config_.takes_changes)  // it may be known to both
            propose_change({call->id + "/changes", 0, changes::Forget{call->name}}, [](bool, auto) {});
    } else if (what == "stewards/add" || what == "stewards/remove") {
        if (changing_) return refuse(client, 409, "another change of the stewards is under way");
        const std::uint64_t id = call->requests.empty() ? 0 : call->requests.front();
        if (id == 0) return refuse(client, 400, "'requests' names no steward's id");
        const auto done = [this, client](const std::string& failed) {
            changing_ = false;
            if (!failed.empty()) return refuse(client, 409, failed);
            front_.answer(client, {200, "{}", 0});
        };
        changing_ = true;
        if (what == "stewards/remove") return raft_.remove(id, done);
        if (!read_host_port(call->name)) {
            changing_ = false;
            return refuse(client, 400, "'name' is no address with a port");
        }
        return raft_.add({id, call->name}, done);
    } else {
        return refuse(client, 404, "no such path");
    }
    propose(std::move(commands), [this, client](bool agreed, const std::vector<fleet::Effect>& effects) {
        if (!agreed) return refuse(client, 503, "not agreed: ask again, under the same id");
        front_.answer(client, {200, write_effects(effects), 0});
    });
}

void FleetManager::propose(std::vector<fleet::Command> commands, Told told) {
    struct All {
        std::size_t left;
        bool agreed = true;
        std::vector<fleet::Effect> effects;
        Told told;
    };
    auto all = std::make_shared<All>(All{commands.size(), true, {}, std::move(told)});
    const auto ended = [this, all](bool applied) {
        all->agreed &= applied;
        if (applied) all->effects.insert(all->effects.end(), last_effects_.begin(), last_effects_.end());
        if (--all->left == 0) all->told(all->agreed, std::move(all->effects));
    };
    for (fleet::Command& c : commands) {
        c.at = time_.now() + clock_error_;
        proposed_at_ = time_.now();
        if (!raft_.propose(fleet::write_command(c), ended)) ended(false);
    }
}

void FleetManager::propose_change(changes::Command command, ChangesTold told) {
    command.at = time_.now() + clock_error_;
    ticked_changes_at_ = time_.now();
    const auto ended = [this, told](bool applied) {
        told(applied, applied ? last_change_effects_ : std::vector<changes::Effect>{});
    };
    if (!raft_.propose(entry_of_changes(changes::write_command(command)), ended)) ended(false);
}

std::vector<std::uint8_t> FleetManager::save() const {
    // Where no change was ever agreed, earlier programs can read it.
    if (!config_.takes_changes && changes_.version() == 0) return state_.save();
    return write_snapshot({state_.save(), changes_.save()});
}

void FleetManager::load(const std::vector<std::uint8_t>& bytes) {
    const Snapshot snapshot = read_snapshot(bytes);
    state_.load(snapshot.fleet);
    view_.look_at_all();
    if (snapshot.changes)
        changes_.load(*snapshot.changes);
    else
        changes_ = changes::ChangeState(config_.changes);
}

void FleetManager::apply(const std::uint8_t* bytes, std::size_t size) {
    const Entry entry = read_entry(bytes, size);
    if (entry.of_changes) {
        last_change_effects_ = changes_.apply(changes::read_command(entry.bytes, entry.size));
        for (const changes::Effect& e : last_change_effects_) {
            std::string names;
            for (const std::string& name : e.names) names += (names.empty() ? ": " : ", ") + name;
            log_line("changes: %s: version %llu%s%s%s", word_of(e.kind),
                     static_cast<unsigned long long>(e.version), names.c_str(), e.why.empty() ? "" : ": ",
                     e.why.c_str());
        }
        return;
    }
    const fleet::Command command = fleet::read_command(entry.bytes, entry.size);
    last_effects_ = state_.apply(command);
    if (const auto* seen = std::get_if<fleet::EndpointsObserved>(&command.what)) view_.agreed(*seen);
    for (const fleet::Effect& e : last_effects_)
        log_line("%s: request %llu fence %llu generation %llu %s%s%s", word_of(e.kind),
                 static_cast<unsigned long long>(e.request), static_cast<unsigned long long>(e.fence),
                 static_cast<unsigned long long>(e.generation), e.about.c_str(), e.why.empty() ? "" : ": ",
                 e.why.c_str());
}

// What only the one that leads does: time goes on, the data nodes as discovery tells of them, the budgets of
// its own file.
void FleetManager::lead() {
    const std::uint64_t leader = raft_.leader();
    if (std::exchange(led_by_, leader) != leader)
        log_line(leader == 0 ? "no steward leads" : "steward %llu leads",
                 static_cast<unsigned long long>(leader));
    if (std::exchange(leads_, raft_.leads()) != raft_.leads()) view_.look_at_all();
    if (!leads_) return;
    const Nanos now = time_.now();
    const auto nothing = [](bool, auto) {};
    if (now - view_at_ >= view_every && !proposing_view_) {
        view_at_ = now;
        if (!(state_.budgets() == config_.budgets))
            propose({{"", 0, fleet::SetBudgets{config_.budgets}}}, nothing);
        if (auto news = view_.news(state_, now)) {
            proposing_view_ = true;
            propose({{"", 0, std::move(*news)}}, [this](bool, auto) { proposing_view_ = false; });
        }
    }
    if (config_.takes_changes && !allowing_ && !(changes_.limits() == config_.changes)) {
        allowing_ = true;
        propose_change(changes::Command{"", 0, changes::SetLimits{config_.changes}},
                       [this](bool, auto) { allowing_ = false; });
    } else if (config_.takes_changes && now - ticked_changes_at_ >= tick_every_) {
        propose_change(changes::Command{"", 0, changes::Tick{}}, nothing);
    }
    if (now - proposed_at_ >= tick_every_) propose({{"", 0, fleet::Tick{}}}, nothing);
}

}  // namespace tealcart::manager
