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

// Finds what differs between what a proxy holds of a type and what it is to hold. Names are given in their
// order, so that the held ones are walked beside them.
class ProxyStream::ChangeFinder {
  public:
    ChangeFinder(const ProxyStream& stream, const Of& of, const ResourceMap& resources)
        : stream_(stream), of_(of), resources_(resources), held_(of.held.begin()) {}

    // All resources, for a wildcard subscription.
    void add_all() {
        for (const auto& [name, resource] : resources_) add(name, &resource);
    }

    // The names that the proxy subscribes to, without those that the wildcard has covered.
    void add_named() {
        held_ = of_.held.begin();
        auto resource = resources_.begin();
        for (const std::string& name : of_.names) {
            while (resource != resources_.end() && resource->first < name) ++resource;
            const bool exists = resource != resources_.end() && resource->first == name;
            if (!of_.wildcard || !exists) add(name, exists ? &resource->second : nullptr);
        }
    }

    void add_removed() {
        auto resource = resources_.begin();
        for (const auto& [name, held] : of_.held) {
            while (resource != resources_.end() && resource->first < name) ++resource;
            const bool exists = resource != resources_.end() && resource->first == name;
            if (!held.version.empty() && !exists) change_.removed.push_back(name);
        }
    }

    Change take() { return std::move(change_); }

  private:
    // `resource` is null where there is none of this name.
    void add(const std::string& name, const ResourcePtr* resource) {
        while (held_ != of_.held.end() && held_->first < name) ++held_;
        const bool is_held = held_ != of_.held.end() && held_->first == name;
        ResourcePtr wanted;
        if (resource != nullptr)
            wanted = of_.rejected.empty() ? *resource : stream_.target(of_, resources_, name);
        if (wanted == nullptr) {
            if (!is_held && stream_.delta_ && resource == nullptr) change_.put.emplace_back(name, nullptr);
            return;
        }
        if (is_held && held_->second.version == wanted->version) return;
        change_.adds |= !is_held || held_->second.version.empty();
        change_.put.emplace_back(name, std::move(wanted));
    }

    const ProxyStream& stream_;
    const Of& of_;
    const ResourceMap& resources_;
    std::map<std::string, Held>::const_iterator held_;
    Change change_;
};

ProxyStream::Change ProxyStream::change(XdsType type, const XdsView& view) const {
    const Of& of = of_[index(type)];
    ChangeFinder finder(*this, of, *view.of[index(type)]);
    if (of.wildcard) finder.add_all();
    finder.add_named();
    finder.add_removed();
    Change change = finder.take();
    if (of.one_by_one && change.put.size() > 1) change.put.resize(1);
    return change;
}

void ProxyStream::adopt_initial_versions(Of& of, const ResourceMap& resources) {
    for (auto& [name, held] : of.held) {
        if (held.what != nullptr || held.version.empty()) continue;
        const auto found = resources.find(name);
        if (found == resources.end() || found->second->version != held.version) continue;
        held.what = found->second;
        of.good[name].what = found->second;
    }
}

std::optional<ToProxy> ProxyStream::next(const XdsView& view, Nanos now) {
    wake_at_ = INT64_MAX;
    // Endpoints go before clusters where no cluster is new, so that a drain waits for no limits.
    constexpr std::array order = {XdsType::cluster, XdsType::endpoint, XdsType::listener, XdsType::route};
    std::optional<Change> limits;
    for (const XdsType type : order) {
        Of& of = of_[index(type)];
        const std::uint64_t changed = view.changed[index(type)];
        if (!of.asked || (of.looked && of.looked_at == changed && !of.owes)) continue;
        adopt_initial_versions(of, *view.of[index(type)]);
        Change due = change(type, view);
        const bool held_back = !due.removed.empty() && !may_remove(type, view);
        if (held_back) due.removed.clear();
        // In the state of the world a removal of single resources is not sent, only forgotten.
        if (!delta_ && !whole_only(type) && due.put.empty()) forget_removed(of, due);
        if (due.empty() && !of.owes) {
            of.looked = !held_back;
            of.looked_at = changed;
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
        of.looked_at = changed;
        return compose(type, due, view, now);
    }
    if (limits) return compose(XdsType::cluster, *limits, view, now);
    return std::nullopt;
}

void ProxyStream::forget_removed(Of& of, Change& due) {
    for (const std::string& name : due.removed) {
        of.held.erase(name);
        of.good.erase(name);
    }
    due.removed.clear();
}

ToProxy ProxyStream::compose(XdsType type, const Change& due, const XdsView& view, Nanos now) {
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
        if (of_[t].asked && (of_[t].in_flight || of_[t].owes || !due.empty())) return false;
    }
    return true;
}

}  // namespace tealcart
