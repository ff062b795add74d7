#include "simwire/adapter.hpp"

#include <algorithm>
#include <span>
#include <utility>

#include "config/router_config_reader.hpp"

namespace tealcart::simwire {

// Delivers the records of one instance as the events of a round.
class Adapter::BatchEvents final : public RoundEvents {
  public:
    explicit BatchEvents(const Instance& instance) : instance_(instance) {}

    void deliver(RoundEventHandler& handler) override {
        std::size_t lists_delivered = 0;
        for (const std::string_view record : instance_.records) {
            ByteReader fields = fields_of(record);
            fields.take<std::uint32_t>();  // the router's id
            if (code_of(record) == EventCode::backends_changed)
                deliver_list(read_list_event(fields), instance_.lists[lists_delivered++], handler);
            else
                deliver_record(code_of(record), fields, handler);
        }
    }

  private:
    static void deliver_list(const ListEvent& event, const SharedEndpoints& list,
                             RoundEventHandler& handler) {
        handler.on_endpoints(event.kind, list ? std::span(*list) : std::span<const Endpoint>());
    }

    void deliver_record(EventCode code, ByteReader& fields, RoundEventHandler& handler) const {
        switch (code) {
            case EventCode::demand:
                return deliver_arrival(fields, instance_.deployment, handler);
            case EventCode::attempt_end:
                return handler.on_attempt_result(read_attempt_result(fields));
            case EventCode::dropped:
                return handler.on_query_dropped(fields.take<std::uint32_t>());
            case EventCode::wakeup:
                return handler.on_timer(fields.take<std::uint64_t>());
            default:
                return;  // gossip, streams and health checks are not used by this router
        }
    }

    const Instance& instance_;
};

void Adapter::start_instance(std::uint32_t id, ByteReader& fields) {
    const auto seed = fields.take<std::uint64_t>();
    const std::string_view settings = fields.take_bytes(fields.take<std::uint32_t>());
    const RouterConfig config = read_router_config(settings);
    Instance instance;
    instance.router = std::make_unique<QueryRouter>(config, seed);
    instance.deployment = {static_cast<std::size_t>(config.places), config.query_classes.size(),
                           static_cast<std::size_t>(config.shards)};
    instances_[id] = std::move(instance);
}

// Binds the page when its list event is read, since a later record of the batch may replace the page.
Adapter::SharedEndpoints Adapter::bind_list_page(const ListEvent& event, const Deployment& deployment) const {
    if (event.kind == ListKind::failed) return nullptr;
    if (event.page >= pages_.size() || !pages_[event.page])
        throw WireError("list event refers to list page " + std::to_string(event.page) +
                        ", which was never sent");
    for (const Endpoint& entry : *pages_[event.page])
        if (entry.place >= deployment.places)
            throw WireError("list entry of node " + std::to_string(entry.node) + " has place " +
                            std::to_string(entry.place) + "; expected less than extra.places (" +
                            std::to_string(deployment.places) + ")");
    return pages_[event.page];
}

void Adapter::dispatch(std::string_view record, std::vector<std::uint32_t>& order) {
    const EventCode code = code_of(record);
    ByteReader fields = fields_of(record);
    if (code == EventCode::inventory) {
        ListPage page = read_list_page(fields);
        if (page.page >= pages_.size())
            throw WireError("list page " + std::to_string(page.page) +
                            " is out of range; expected less than " + std::to_string(pages_.size()));
        pages_[page.page] = std::make_shared<const std::vector<Endpoint>>(std::move(page.entries));
        return;
    }
    const auto id = fields.take<std::uint32_t>();
    if (code == EventCode::kill || code == EventCode::init) std::erase(order, id);
    if (code == EventCode::kill) {
        instances_.erase(id);
        return;
    }
    if (code == EventCode::init) start_instance(id, fields);
    const auto found = instances_.find(id);
    if (found == instances_.end())
        throw WireError("record of code " + std::to_string(static_cast<int>(code)) + " is for router " +
                        std::to_string(id) + ", which has not been started");
    Instance& instance = found->second;
    if (std::find(order.begin(), order.end(), id) == order.end()) order.push_back(id);
    if (code == EventCode::init) return;
    instance.records.push_back(record);
    if (code == EventCode::backends_changed)
        instance.lists.push_back(bind_list_page(read_list_event(fields), instance.deployment));
}

std::string Adapter::reply_to(std::string_view batch) {
    ByteReader header(batch);
    const Nanos now = header.take_time("the clock");
    const auto record_count = header.take<std::uint32_t>();
    const auto batch_number = header.take<std::uint32_t>();
    std::vector<std::uint32_t> order;  // instances with records, in order of their first record
    std::string_view rest = batch.substr(header.position());
    for (std::uint32_t i = 0; i < record_count; ++i) {
        const std::size_t size = record_size(rest);
        dispatch(rest.substr(0, size), order);
        rest.remove_prefix(size);
    }
    if (!rest.empty())
        throw WireError("batch has " + std::to_string(rest.size()) +
                        " bytes after its last record; expected none");

    std::string actions;
    std::uint32_t action_count = 0;
    for (const std::uint32_t id : order) {
        Instance& instance = instances_.at(id);
        BatchEvents events(instance);
        ActionWriter writer(id, actions, action_count);
        instance.router->round(now, events, writer);
        instance.records.clear();
        instance.lists.clear();
    }
    std::string reply;
    append(reply, action_count);
    append(reply, static_cast<std::uint32_t>(actions.size() + sizeof batch_number));
    append(reply, batch_number);
    return reply + actions;
}

}  // namespace tealcart::simwire
