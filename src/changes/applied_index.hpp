// Maintains the lowest version that any live member acts on, without a scan of all members. A member that is
// attached to exactly one relay is indexed by its reported version, under that relay's lowest version, which
// raises all of its members at once. Members with several relays, or with none any more, are indexed
// individually.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tealcart::changes {

// The index of applied versions.
class AppliedIndex {
  public:
    // The version that, as the relay reports, all its members act on at least, except those that it lists as
    // exceptions.
    std::uint64_t lowest_of(const std::string& relay) const;
    void set_lowest(const std::string& relay, std::uint64_t lowest);
    // Removes a relay that has no members in the index.
    void drop_relay(const std::string& relay) { relays_.erase(relay); }

    // `reported_version`: the greatest version reported for the member itself.
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

    // The lowest version over all members; nullopt if there is no member.
    std::optional<std::uint64_t> lowest() const;
    // Removes all members and keeps the lowest versions of the relays.
    void clear_members();

  private:
    using ByVersion = std::set<std::pair<std::uint64_t, std::string>>;
    struct Relay {
        std::uint64_t lowest = 0;
        ByVersion plain, exceptions;           // members by their reported version
        std::optional<std::uint64_t> minimum;  // over both sets; the relay's key in relay_minima_
    };

    void update_minimum(const std::string& name, Relay& relay);

    std::map<std::string, Relay> relays_;
    ByVersion relay_minima_;
    ByVersion individual_members_;
};

}  // namespace tealcart::changes
