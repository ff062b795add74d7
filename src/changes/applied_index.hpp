// The lowest version that any live member acts on, without a look at all members. A member that one relay
// alone has is kept by what was stated of it, under that relay's lowest version, which moves all of them at
// once. Members that several relays have, or none any more, are kept one by one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tealcart::changes {

class AppliedIndex {
  public:
    // What a relay says of all its members that it does not list as exceptions: they act on this version at
    // least.
    std::uint64_t lowest_of(const std::string& relay) const;
    void set_lowest(const std::string& relay, std::uint64_t lowest);
    void drop_relay(const std::string& relay) { relays_.erase(relay); }  // which has no members here

    // `stated`: the greatest version that was stated of the member itself.
    void insert_by_relay(const std::string& relay, const std::string& member, std::uint64_t reported_version,
                         bool exception);
    void erase_by_relay(const std::string& relay, const std::string& member, std::uint64_t reported_version,
                        bool exception);
    std::vector<std::string> members_of(const std::string& relay) const;

    void insert_individual(const std::string& member, std::uint64_t applied) {
        individual_members_.emplace(applied, member);
    }
    void erase_individual(const std::string& member, std::uint64_t applied) {
        individual_members_.erase({applied, member});
    }

    // Nothing: there is no member.
    std::optional<std::uint64_t> lowest() const;
    // The members; what relays say stays.
    void clear_members();

  private:
    using ByVersion = std::set<std::pair<std::uint64_t, std::string>>;
    struct Relay {
        std::uint64_t lowest = 0;
        ByVersion plain, exceptions;           // members by what was stated of them
        std::optional<std::uint64_t> minimum;  // over both; the relay's key in relay_minima_
    };

    void update_minimum(const std::string& name, Relay& relay);

    std::map<std::string, Relay> relays_;
    ByVersion relay_minima_;
    ByVersion individual_members_;
};

}  // namespace tealcart::changes
