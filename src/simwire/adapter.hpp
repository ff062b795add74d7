// The simulator's wire: hosts many query routers, each as if on a machine of its own.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart::simwire {

class Adapter {
  public:
    // One batch, without its length field, to one whole reply. Throws Malformed.
    std::string reply_to(std::string_view batch);

  private:
    using NodeList = std::shared_ptr<const std::vector<Endpoint>>;
    struct Instance {
        std::unique_ptr<QueryRouter> router;
        std::size_t places = 0, query_classes = 0, shards = 0;
        std::vector<std::string_view> records;  // of the batch in hand, from behind the router id
        std::vector<NodeList> lists;            // its list pages, in the order of its list records
    };
    class Played;
    class Written;

    void sort_record(std::uint8_t code, std::string_view record, std::vector<std::uint32_t>& order);

    std::map<std::uint32_t, Instance> instances_;
    std::array<NodeList, 16> pages_;
};

}  // namespace tealcart::simwire
