#include "xds/server.hpp"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "discovery.grpc.pb.h"
#include "log/log.hpp"
#include "xds/encode.hpp"

namespace tealcart {
namespace {

using grpc::ByteBuffer;
using grpc::Status;
using grpc::StatusCode;
using Ads = envoy::service::discovery::v3::AggregatedDiscoveryService;
using AdsService = Ads::WithRawCallbackMethod_StreamAggregatedResources<
    Ads::WithRawCallbackMethod_DeltaAggregatedResources<Ads::Service>>;

constexpr int max_message = 1 << 20;

// Returns the system time at the first call, advanced by the steady clock since, so that it never steps.
Nanos now() {
    using namespace std::chrono;
    static const auto base = duration_cast<nanoseconds>(system_clock::now().time_since_epoch());
    static const auto began = steady_clock::now();
    return (base + duration_cast<nanoseconds>(steady_clock::now() - began)).count();
}

// Returns a slice over bytes of a resource, which it keeps alive as long as the transport needs it.
grpc::Slice slice_of(const ResourcePtr& resource, const std::string& bytes) {
    auto* reference = new ResourcePtr(resource);
    return grpc::Slice(
        const_cast<char*>(bytes.data()), bytes.size(),
        [](void* pointer) { delete static_cast<ResourcePtr*>(pointer); }, reference);
}

ByteBuffer serialize(const ProxyResponse& response, bool delta) {
    std::vector<grpc::Slice> slices{grpc::Slice(response_head(response, delta))};
    for (const ResourcePtr& resource : response.resources)
        slices.push_back(slice_of(resource, delta ? resource->delta : resource->state_of_world));
    return ByteBuffer(slices.data(), slices.size());
}

template <typename Message>
bool read_message(const ByteBuffer& in, Message& message) {
    ByteBuffer copy(in);  // shares the bytes
    return grpc::SerializationTraits<Message>::Deserialize(&copy, &message).ok();
}

bool parse_state_of_world(const ByteBuffer& in, std::string& node, ProxyRequest& out) {
    envoy::service::discovery::v3::DiscoveryRequest message;
    if (!read_message(in, message)) return false;
    node = message.node().id();
    out.type_url = message.type_url();
    out.nonce = message.response_nonce();
    out.version = message.version_info();
    out.names.assign(message.resource_names().begin(), message.resource_names().end());
    out.is_nack = message.has_error_detail();
    out.error = message.error_detail().message();
    return true;
}

bool parse_delta(const ByteBuffer& in, std::string& node, ProxyRequest& out) {
    envoy::service::discovery::v3::DeltaDiscoveryRequest message;
    if (!read_message(in, message)) return false;
    node = message.node().id();
    out.type_url = message.type_url();
    out.nonce = message.response_nonce();
    out.subscribe.assign(message.resource_names_subscribe().begin(),
                         message.resource_names_subscribe().end());
    out.unsubscribe.assign(message.resource_names_unsubscribe().begin(),
                           message.resource_names_unsubscribe().end());
    out.initial_versions.insert(message.initial_resource_versions().begin(),
                                message.initial_resource_versions().end());
    out.is_nack = message.has_error_detail();
    out.error = message.error_detail().message();
    return true;
}

Status status_of(Controller::Refusal refusal) {
    switch (refusal) {
        case Controller::Refusal::no_node:
            return {StatusCode::INVALID_ARGUMENT, "the first request names no node"};
        case Controller::Refusal::other_node:
            return {StatusCode::INVALID_ARGUMENT, "a request names another node than the first"};
        case Controller::Refusal::unknown_type:
            return {StatusCode::INVALID_ARGUMENT, "resources of this type are not served"};
        case Controller::Refusal::too_many:
            return {StatusCode::INVALID_ARGUMENT, "too many resource names"};
        case Controller::Refusal::full:
            return {StatusCode::RESOURCE_EXHAUSTED, "too many proxies are connected"};
        default:
            return Status::OK;
    }
}

}  // namespace

class XdsServer::Impl {
  public:
    Impl(std::mutex& mutex, const RouterConfig& config, const std::vector<std::string>& query_classes,
         const ControlConfig& control, Nanos connect_timeout, std::uint64_t seed, std::uint64_t epoch)
        : mutex_(mutex), encoder_(connect_timeout),
          controller_(config, query_classes, control, encoder_, seed, epoch), service_(*this) {}

    class Stream;

    // What happened on a stream. At most one message, one finished write and the end of each stream are
    // queued.
    struct Event {
        enum Kind : std::uint8_t { opened, read, written, ended, done };

        Stream* stream = nullptr;
        Kind kind = opened;
        bool parsed = false;
        std::string node;
        ProxyRequest request;
    };
    void enqueue(Event event) {
        {
            const std::lock_guard lock(events_mutex_);
            events_.push_back(std::move(event));
        }
        wake_.notify_one();
    }
    void work();
    void stop_work() {
        {
            const std::lock_guard lock(events_mutex_);
            working_ = false;
        }
        wake_.notify_one();
        worker_.join();
    }

    // Writes due responses to up to this many streams, closes ended streams and writes log lines; returns
    // whether more are due. The lock must be held.
    bool write_due(std::size_t max_streams = 1);
    void log() {
        for (const std::string& line : controller_.take_log_lines()) log_line("%s", line.c_str());
    }

    class Service final : public AdsService {
      public:
        explicit Service(Impl& impl) : impl_(impl) {}
        grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* StreamAggregatedResources(
            grpc::CallbackServerContext*) override;
        grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* DeltaAggregatedResources(
            grpc::CallbackServerContext*) override;

      private:
        Impl& impl_;
    };

    std::mutex& mutex_;
    XdsEncoder encoder_;
    Controller controller_;
    Service service_;
    std::unordered_map<Controller::StreamId, Stream*> streams_;
    std::deque<Controller::StreamId> write_queue_;  // in the order in which the streams became due
    std::unordered_set<Controller::StreamId> queued_;
    std::uint64_t responses_ = 0, bytes_ = 0;
    bool stopping_ = false;
    std::unique_ptr<grpc::Server> server_;
    std::mutex events_mutex_;
    std::condition_variable wake_;
    std::deque<Event> events_;
    bool working_ = true, due_ = false;
    std::thread worker_{[this] { work(); }};  // last, since it uses all other members
};

// The transport's threads only queue events; the worker handles them under the lock. A stream deletes itself
// once the worker has handled OnDone, after which the transport doesn't call it any more.
class XdsServer::Impl::Stream final : public grpc::ServerBidiReactor<ByteBuffer, ByteBuffer> {
  public:
    Stream(Impl& impl, bool delta) : impl_(impl), delta_(delta) {
        impl_.enqueue({this, Event::opened, false, {}, {}});
    }

    void OnReadDone(bool ok) override {
        Event event{this, ok ? Event::read : Event::ended, false, {}, {}};
        if (ok)
            event.parsed = delta_ ? parse_delta(in_, event.node, event.request)
                                  : parse_state_of_world(in_, event.node, event.request);
        impl_.enqueue(std::move(event));
    }
    void OnWriteDone(bool ok) override {
        impl_.enqueue({this, ok ? Event::written : Event::ended, false, {}, {}});
    }
    void OnCancel() override { impl_.enqueue({this, Event::ended, false, {}, {}}); }
    void OnDone() override { impl_.enqueue({this, Event::done, false, {}, {}}); }

    void handle_event(const Event& event) {
        switch (event.kind) {
            case Event::opened:
                id_ = impl_.controller_.open(delta_, now());
                impl_.streams_[id_] = this;
                if (impl_.stopping_) return finish({StatusCode::UNAVAILABLE, "the control service stops"});
                return StartRead(&in_);
            case Event::read:
                return on_request(event);
            case Event::written:
                writing_ = false;
                return write();
            case Event::ended:
                return finish(Status::OK);
            case Event::done:
                impl_.controller_.close(id_, now());
                impl_.streams_.erase(id_);
                delete this;
        }
    }
    // Writes the newest due response unless a write is in progress.
    void write() {
        if (writing_ || finished_) return;
        const auto response = impl_.controller_.next(id_, now());
        if (!response) return;
        out_ = serialize(*response, delta_);
        ++impl_.responses_;
        impl_.bytes_ += out_.Length();
        writing_ = true;
        StartWrite(&out_);
    }
    void finish(const Status& status) {
        if (finished_) return;
        finished_ = true;
        Finish(status);
    }

  private:
    void on_request(const Event& event) {
        if (finished_) return;
        if (!event.parsed) {
            log_line("a proxy sent a malformed discovery request; its stream is closed");
            return finish({StatusCode::INVALID_ARGUMENT, "the request can't be read"});
        }
        const auto refusal = impl_.controller_.on_request(id_, event.node, event.request, now());
        if (refusal == Controller::Refusal::none) {
            StartRead(&in_);
            return write();
        }
        const Status status = status_of(refusal);
        log_line("a proxy's stream is refused: %s", status.error_message().c_str());
        finish(status);
    }

    Impl& impl_;
    const bool delta_;
    Controller::StreamId id_ = 0;
    ByteBuffer in_, out_;
    bool writing_ = false, finished_ = false;
};

grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* XdsServer::Impl::Service::StreamAggregatedResources(
    grpc::CallbackServerContext*) {
    return new Stream(impl_, false);
}

grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* XdsServer::Impl::Service::DeltaAggregatedResources(
    grpc::CallbackServerContext*) {
    return new Stream(impl_, true);
}

bool XdsServer::Impl::write_due(std::size_t max_streams) {
    for (const Controller::StreamId id : controller_.take_ended())
        if (const auto found = streams_.find(id); found != streams_.end())
            found->second->finish({StatusCode::ABORTED, "this node has connected on another stream"});
    for (const Controller::StreamId id : controller_.take_due())
        if (queued_.insert(id).second) write_queue_.push_back(id);
    for (; max_streams > 0 && !write_queue_.empty(); --max_streams) {
        const Controller::StreamId id = write_queue_.front();
        write_queue_.pop_front();
        queued_.erase(id);
        if (const auto found = streams_.find(id); found != streams_.end()) found->second->write();
    }
    log();
    return !write_queue_.empty();
}

// Handles queued events, then writes to a few of the due streams, and releases the lock in between.
void XdsServer::Impl::work() {
    constexpr std::size_t batch_size = 16;
    bool more = false;
    for (;;) {
        std::deque<Event> events;
        {
            std::unique_lock lock(events_mutex_);
            wake_.wait(lock, [&] { return more || due_ || !events_.empty() || !working_; });
            if (!working_ && events_.empty()) return;
            due_ = false;
            for (std::size_t count = 0; count < batch_size && !events_.empty(); ++count) {
                events.push_back(std::move(events_.front()));
                events_.pop_front();
            }
        }
        const std::lock_guard lock(mutex_);
        for (const Event& event : events) event.stream->handle_event(event);
        more = write_due(batch_size);
    }
}

void XdsServer::wake() {
    {
        const std::lock_guard lock(impl_->events_mutex_);
        impl_->due_ = true;
    }
    impl_->wake_.notify_one();
}

XdsServer::XdsServer(const RouterConfig& config, const std::vector<std::string>& query_classes,
                     const ControlConfig& control, Nanos connect_timeout, std::uint64_t seed,
                     std::uint64_t epoch)
    : impl_(std::make_unique<Impl>(mutex_, config, query_classes, control, connect_timeout, seed, epoch)) {}

XdsServer::~XdsServer() { stop(); }

int XdsServer::start(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(max_message);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, 10'000);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 5'000);
    builder.RegisterService(&impl_->service_);
    impl_->server_ = builder.BuildAndStart();
    if (impl_->server_ == nullptr || port == 0)
        throw std::runtime_error("can't listen on address " + address + " for xDS");
    return port;
}

void XdsServer::apply_list(const EndpointList& list) {
    {
        const std::lock_guard lock(mutex_);
        impl_->controller_.apply_list(list, now());
    }
    wake();
}

void XdsServer::tick() {
    {
        const std::lock_guard lock(mutex_);
        impl_->controller_.tick(now());
    }
    wake();
}

void XdsServer::stop() {
    if (impl_->server_ == nullptr) {
        if (impl_->worker_.joinable()) impl_->stop_work();
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        impl_->stopping_ = true;
        for (const auto& [_, stream] : impl_->streams_)
            stream->finish({StatusCode::UNAVAILABLE, "the control service stops"});
    }
    impl_->server_->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(2));
    impl_->server_->Wait();
    impl_->server_.reset();
    // Waits for the end of each stream, since the transport may still be queuing events.
    const auto ended = [this] {
        const std::scoped_lock lock(mutex_, impl_->events_mutex_);
        return impl_->streams_.empty() && impl_->events_.empty();
    };
    for (int i = 0; i < 5000 && !ended(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    impl_->stop_work();
}

XdsServer::Stats XdsServer::stats() const {
    const std::lock_guard lock(mutex_);
    return {impl_->controller_.streams(), impl_->controller_.encoded(), impl_->responses_, impl_->bytes_,
            impl_->controller_.list_age(now())};
}

const Controller& XdsServer::controller() const { return impl_->controller_; }

}  // namespace tealcart
