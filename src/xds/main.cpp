// The control service: follows discovery like a query router and sends its decisions to other proxies over
// xDS.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>

#include "log/log.hpp"
#include "service/startup_config.hpp"
#include "wire/discovery_watch.hpp"
#include "xds/server.hpp"

namespace {

using namespace tealcart;

constexpr auto tick_interval = std::chrono::milliseconds(20);
constexpr Nanos stale_list_age = 60'000'000'000;

// Passes endpoint lists from discovery to the server.
class ListForwarder final : public EndpointListObserver {
  public:
    explicit ListForwarder(XdsServer& server) : server_(server) {}
    void on_endpoint_list(const EndpointList& list) override { server_.apply_list(list); }

  private:
    XdsServer& server_;
};

int run(const std::string& config, const std::string& file) {
    std::signal(SIGPIPE, SIG_IGN);
    const StartupConfig read = [&] {
        StartupConfig startup = read_startup_config_file(config);
        apply_operator_config(startup, read_operator_file(file));
        return startup;
    }();
    const ControlConfig& control = read.operator_config.control;
    if (!control.enabled)
        throw ConfigError("the operators' file " + file +
                          " has no 'control' block, which the control service needs");
    configure_log(read.operator_config.log);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    const auto epoch = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    XdsServer server(read.config, read.connection_config.query_classes, control,
                     read.connection_config.connect_timeout, read.seed, static_cast<std::uint64_t>(epoch));
    EndpointList known = read.cached_endpoints;
    if (!known.nodes.empty()) server.apply_list(known);
    EventClock time;
    ListForwarder lists(server);
    DiscoveryWatch watch(io, time, lists, read.discovery, read.config.discovery,
                         static_cast<std::uint32_t>(read.config.places), read.seed, read.endpoint_list_limit);
    const int port = server.start(control.listen);
    watch.start(known.generation);
    log_line("%s serves xDS on port %d, discovery is at %s:%u", read.name.c_str(), port,
             read.discovery.host.c_str(), read.discovery.port);
    bool stopping = false, stale_list_logged = false;
    signals.async_wait([&](const boost::system::error_code& ec, int) { stopping = !ec; });
    boost::asio::steady_timer timer(io);
    std::function<void()> schedule_tick = [&] {
        timer.expires_after(tick_interval);
        timer.async_wait([&](const boost::system::error_code& ec) {
            if (ec) return;
            time.timers.fire_due(time.now());
            server.tick();
            const Nanos age = server.stats().list_age;
            if (age > stale_list_age && !std::exchange(stale_list_logged, true))
                log_line("discovery has sent no list of data nodes for %lld s; the decisions stay in force",
                         static_cast<long long>(age / 1'000'000'000));
            if (age < stale_list_age) stale_list_logged = false;
            schedule_tick();
        });
    };
    schedule_tick();
    while (!stopping) {
        io.run_one();
        time.timers.fire_due(time.now());
    }
    const auto stats = server.stats();
    log_line("stopping with %zu proxies connected", stats.streams);
    server.stop();
    watch.stop();
    log_line("stopped");
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-control: sends tealcart's decisions to other proxies over xDS");
    app.name("tealcart control");
    std::string config, file;
    app.add_option("--config", config, "the platform's configuration (JSON)")
        ->envname("ROUTER_CONFIG")
        ->required();
    app.add_option("--file", file, "the operators' file (HCL), with a 'control' block")
        ->envname("TEALCART_FILE")
        ->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    try {
        return run(config, file);
    } catch (const HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart control: %s\n", e.what());
    }
    return 1;
}
