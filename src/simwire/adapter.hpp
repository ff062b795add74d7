// Hosts many query routers in one process, each as if on a machine of its own, for the simulator. Instances
// share nothing but the list pages, which the wire sends once for all of them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"
#include "simwire/records.hpp"

namespace tealcart::simwire {

class Adapter {
  public:
    // Processes one batch, given without its length field, and returns the complete reply. Throws WireError
    // where the batch is malformed, ConfigError where an instance's settings are.
    std::string reply_to(std::string_view batch);

  private:
    using SharedEndpoints = std::shared_ptr<const std::vector<Endpoint>>;
    struct Instance {
        std::unique_ptr<QueryRouter> router;
        Deployment deployment;
        std::vector<std::string_view> records;  // of the current batch, whose bytes they refer to
        std::vector<SharedEndpoints> lists;  // the page of each list event among the records, in their order
    };
    class BatchEvents;

    // Gives a record to its instance, and adds an instance that is new in this batch to `order`.
    void dispatch(std::string_view record, std::vector<std::uint32_t>& order);
    void start_instance(std::uint32_t id, ByteReader& fields);
    SharedEndpoints bind_list_page(const ListEvent& event, const Deployment& deployment) const;

    std::map<std::uint32_t, Instance> instances_;
    std::array<SharedEndpoints, 16> pages_;  // by page number; null until it is sent
};

}  // namespace tealcart::simwire
