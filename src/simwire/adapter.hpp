// Hosts many query routers in one process for the simulator, each as if it ran on its own machine. Instances
// share only the list pages, which the simulator sends once for all of them.
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

// Turns batches of event records into batches of action records.
class Adapter {
  public:
    // Processes one batch, given without its length field, and returns the complete reply. Throws WireError
    // if the batch is malformed and ConfigError if an instance's settings are invalid.
    std::string reply_to(std::string_view batch);

  private:
    using SharedEndpoints = std::shared_ptr<const std::vector<Endpoint>>;
    struct Instance {
        std::unique_ptr<QueryRouter> router;
        Deployment deployment;
        std::vector<std::string_view> records;  // of the current batch; views of its bytes
        std::vector<SharedEndpoints> lists;     // the page of each list event among the records, in order
    };
    class BatchEvents;

    // Passes a record to its instance, and appends the instance to `order` if it is the first record for it
    // in the batch.
    void dispatch(std::string_view record, std::vector<std::uint32_t>& order);
    void start_instance(std::uint32_t id, ByteReader& fields);
    SharedEndpoints bind_list_page(const ListEvent& event, const Deployment& deployment) const;

    std::map<std::uint32_t, Instance> instances_;
    std::array<SharedEndpoints, 16> pages_;  // by page number; null until the page is sent
};

}  // namespace tealcart::simwire
