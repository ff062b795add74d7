#include "control/proxy_stream.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace tealcart {
namespace {

std::uint64_t number_of(std::string_view nonce) {
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(nonce.data(), nonce.data() + nonce.size(), number);
    return ec == std::errc() && end == nonce.data() + nonce.size() ? number : 0;
}

}  // namespace

ProxyStream::Heard ProxyStream::hear(const FromProxy& said, std::uint64_t& told, NameChange& names) {
    told = 0;
    const auto type = type_of(said.type_url);
    if (!type) return Heard::unknown_type;
    if (said.names.size() > max_names || said.subscribe.size() > max_names ||
        said.initial_versions.size() > max_names)
        return Heard::too_many;
    Of& of = of_[index(*type)];
    of_[index(XdsType::cluster)].looked = of_[index(XdsType::endpoint)].looked =
        false;  // what waited for others
    const bool first = !of.asked;
    // With a nonce it is about a response of this stream: the last of its type, or it is out of date.
    const bool about = !said.nonce.empty() && !first;
    if (about && number_of(said.nonce) != of.number) {
        // A delta's subscriptions hold all the same: they are changes, not the whole.
        if (delta_) hear_delta(of, *type, said, false, names), of.looked = false;
        return Heard::stale;
    }
    Heard heard = Heard::first;
    if (about) {
        told = of.number;
        heard = said.rejects ? Heard::rejected : Heard::acknowledged;
        if (of.in_flight) said.rejects ? reject(of, said.error) : acknowledge(of);
    }
    of.asked = true;
    of.looked &= !first && !said.rejects;
    delta_ ? hear_delta(of, *type, said, first, names) : hear_whole(of, *type, said, first, names);
    of.looked &= said.subscribe.empty() && said.unsubscribe.empty();
    return of.names.size() > max_names ? Heard::too_many : heard;
}

void ProxyStream::hear_whole(Of& of, XdsType type, const FromProxy& said, bool first, NameChange& change) {
    if (first) {
        if (const auto known = read_version(said.version))
            known_generation_ = std::max(known_generation_, known->generation);
        of.owes = whole_only(type);
    }
    if (!first && said.names == of.said) return;
    of.said = said.names;
    of.looked = false;
    std::set<std::string> names(said.names.begin(), said.names.end());
    const bool star = names.erase("*") > 0;
    // No names at all mean everything, for as long as none was ever named.
    const bool wildcard = star || (whole_only(type) && said.names.empty() && (first || of.wildcard));
    if (names != of.names || wildcard != of.wildcard)
        std::erase_if(of.held, [&](const auto& h) { return !wildcard && !names.contains(h.first); });
    std::set_difference(names.begin(), names.end(), of.names.begin(), of.names.end(),
                        std::back_inserter(change.added));
    std::set_difference(of.names.begin(), of.names.end(), names.begin(), names.end(),
                        std::back_inserter(change.removed));
    of.names = std::move(names);
    of.wildcard = wildcard;
}

void ProxyStream::hear_delta(Of& of, XdsType type, const FromProxy& said, bool first, NameChange& change) {
    if (first) {
        of.owes = true;
        of.wildcard = whole_only(type) && said.subscribe.empty();
        for (const auto& [name, version] : said.initial_versions) {
            if (const auto known = read_version(version))
                known_generation_ = std::max(known_generation_, known->generation);
            of.held[name] = of.good[name] = {version, nullptr};
        }
    }
    for (const std::string& name : said.subscribe) {
        if (name == "*") {
            of.wildcard = true;
            continue;
        }
        if (of.names.insert(name).second) change.added.push_back(name);
        if (!first) of.held.erase(name);  // asked for anew: told anew
    }
    for (const std::string& name : said.unsubscribe) {
        if (name == "*") of.wildcard = false;
        if (of.names.erase(name) > 0) change.removed.push_back(name);
        of.held.erase(name);
        of.good.erase(name);
    }
}

void ProxyStream::acknowledge(Of& of) {
    of.in_flight = false;
    for (const std::string& name : of.flight) {
        const auto held = of.held.find(name);
        if (held == of.held.end())
            of.good.erase(name);
        else
            of.good[name] = held->second;
        of.rejected.erase(name);
    }
    of.flight.clear();
}

// Which of several is at fault is not told: they go out one by one from then on, so that one that can't be
// taken holds up no other. One that was alone stays as it was until it changes.
void ProxyStream::reject(Of& of, const std::string& error) {
    of.in_flight = false;
    last_error_ = error.substr(0, 300);
    if (of.flight.size() == 1) {
        const std::string& name = of.flight.front();
        if (const auto held = of.held.find(name); held != of.held.end())
            of.rejected[name] = held->second.version;
    } else {
        of.one_by_one = true;
    }
    for (const std::string& name : of.flight) {
        const auto good = of.good.find(name);
        if (good == of.good.end())
            of.held.erase(name);
        else
            of.held[name] = good->second;
    }
    of.flight.clear();
}

// What it is to hold of this name: the newest, but for one that it has rejected.
ResourcePtr ProxyStream::target(const Of& of, const ResourceMap& view, const std::string& name) const {
    const auto now = view.find(name);
    if (now == view.end()) return nullptr;
    const auto rejected = of.rejected.find(name);
    if (rejected == of.rejected.end() || rejected->second != now->second->version) return now->second;
    const auto good = of.good.find(name);
    return good == of.good.end() ? nullptr : good->second.what;
}

// Make before break: what routes or listeners may still refer to stays until they have moved on.
bool ProxyStream::may_remove(XdsType type, const XdsView& view) const {
    if (type == XdsType::route || type == XdsType::listener) return true;
    const Of& routes = of_[index(XdsType::route)];
    if (!routes.asked) return true;
    if (routes.in_flight) return false;
    const Change to_come = change(XdsType::route, view);
    return to_come.put.empty() && to_come.removed.empty();
}

ProxyStream::Change ProxyStream::change(XdsType type, const XdsView& view) const {
    const Of& of = of_[index(type)];
    const ResourceMap& all = *view.of[index(type)];
    Change change;
    // All are in the order of names: they are walked side by side.
    auto held = of.held.begin();
    const auto look = [&](const std::string& name, const ResourcePtr* here) {
        while (held != of.held.end() && held->first < name) ++held;
        const bool has = held != of.held.end() && held->first == name;
        ResourcePtr wanted;
        if (here != nullptr) wanted = of.rejected.empty() ? *here : target(of, all, name);
        if (wanted == nullptr) {
            if (!has && delta_ && here == nullptr) change.put.emplace_back(name, nullptr);
            return;
        }
        if (has && held->second.version == wanted->version) return;
        change.adds |= !has || held->second.version.empty();
        change.put.emplace_back(name, std::move(wanted));
    };
    if (of.wildcard)
        for (const auto& [name, what] : all) look(name, &what);
    held = of.held.begin();
    auto at = all.begin();
    for (const std::string& name : of.names) {
        while (at != all.end() && at->first < name) ++at;
        const bool here = at != all.end() && at->first == name;
        if (!of.wildcard || !here) look(name, here ? &at->second : nullptr);
    }
    at = all.begin();
    for (const auto& [name, was] : of.held) {
        while (at != all.end() && at->first < name) ++at;
        if (!was.version.empty() && (at == all.end() || at->first != name)) change.removed.push_back(name);
    }
    if (of.one_by_one && change.put.size() > 1) change.put.resize(1);
    return change;
}

// Endpoints go before clusters where no cluster is new, so that a drain waits for no limits.
std::optional<ToProxy> ProxyStream::next(const XdsView& view, Nanos now) {
    wake_at_ = INT64_MAX;
    constexpr std::array order = {XdsType::cluster, XdsType::endpoint, XdsType::listener, XdsType::route};
    std::optional<Change> limits;
    for (const XdsType type : order) {
        Of& of = of_[index(type)];
        if (!of.asked || (of.looked && of.looked_at == view.changed[index(type)] && !of.owes)) continue;
        // What it brought along from another stream, as far as it is what it would be told.
        for (auto& [name, held] : of.held)
            if (held.what == nullptr && !held.version.empty())
                if (const auto found = view.of[index(type)]->find(name);
                    found != view.of[index(type)]->end() && found->second->version == held.version)
                    held.what = of.good[name].what = found->second;
        Change due = change(type, view);
        const bool held_back = !due.removed.empty() && !may_remove(type, view);
        if (held_back) due.removed.clear();
        // One that was told of nothing it subscribed to has nothing to be told, in the state of the world.
        if (!delta_ && !whole_only(type) && due.put.empty()) {
            for (const std::string& name : due.removed) of.held.erase(name), of.good.erase(name);
            due.removed.clear();
        }
        if (due.put.empty() && due.removed.empty() && !of.owes) {
            of.looked = !held_back;
            of.looked_at = view.changed[index(type)];
            continue;
        }
        if (of.in_flight && now < of.sent_at + ack_wait_) {
            wake_at_ = std::min(wake_at_, of.sent_at + ack_wait_);
            if (due.adds) break;  // what refers to it waits
            continue;
        }
        if (type == XdsType::cluster && !due.adds && due.removed.empty() && !of.owes) {
            limits = std::move(due);
            continue;
        }
        of.looked = !held_back && !of.one_by_one;
        of.looked_at = view.changed[index(type)];
        return compose(type, std::move(due), view, now);
    }
    if (limits) return compose(XdsType::cluster, std::move(*limits), view, now);
    return std::nullopt;
}

ToProxy ProxyStream::compose(XdsType type, Change due, const XdsView& view, Nanos now) {
    Of& of = of_[index(type)];
    ToProxy out;
    out.type = type;
    out.number = of.number = ++last_number_;
    out.nonce = std::to_string(out.number);
    out.version = write_version(view.version);
    of.owes = false;
    of.sent_at = now;
    // One that never came back may hold any of what was under way.
    if (!of.in_flight) of.flight.clear();
    of.in_flight = true;
    for (const auto& [name, what] : due.put) {
        of.held[name] = what == nullptr ? Held{} : Held{what->version, what};
        of.flight.push_back(name);
        if (what == nullptr)
            out.removed.push_back(name);
        else if (delta_ || !whole_only(type))
            out.resources.push_back(what);
    }
    for (const std::string& name : due.removed) {
        of.held.erase(name);
        of.flight.push_back(name);
        out.removed.push_back(name);
    }
    std::sort(of.flight.begin(), of.flight.end());
    of.flight.erase(std::unique(of.flight.begin(), of.flight.end()), of.flight.end());
    if (!delta_ && whole_only(type)) {
        out.removed.clear();
        for (const auto& [name, held] : of.held)
            if (held.what != nullptr) out.resources.push_back(held.what);
    }
    return out;
}

std::vector<ResourcePtr> ProxyStream::clusters() const {
    std::vector<ResourcePtr> all;
    for (const auto& [_, held] : of_[index(XdsType::cluster)].held)
        if (held.what != nullptr) all.push_back(held.what);
    return all;
}

bool ProxyStream::settled(const XdsView& view) const {
    for (std::size_t t = 0; t < xds_types; ++t) {
        const Change due = change(static_cast<XdsType>(t), view);
        if (of_[t].asked && (of_[t].in_flight || of_[t].owes || !due.put.empty() || !due.removed.empty()))
            return false;
    }
    return true;
}

}  // namespace tealcart
