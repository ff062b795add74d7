// Runs scripted test services by hand on loopback: one data node, discovery, or a whole fleet in one process.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "testing/fleet.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::testing;

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

NodeScript* find_node(Script& script, const std::string& name) {
    for (NodeScript& node : script.nodes)
        if (node.name == name) return &node;
    return nullptr;
}

int run_node(const std::string& path, const std::string& name) {
    Script script = read_script_file(path);
    NodeScript* self = find_node(script, name);
    if (self == nullptr) throw std::runtime_error("the script has no node '" + name + "'");
    boost::asio::io_context io(1);
    DataNode node(io, script, *self);
    node.on_request = [](char frame_type, std::uint32_t shard) {
        std::printf("%c %u\n", frame_type, shard);
        std::fflush(stdout);
    };
    io.run();
    return 0;
}

// Publishes the endpoint list of the script, again whenever the file changes.
int run_discovery(const std::string& path) {
    boost::asio::io_context io(1);
    const Script first = read_script_file(path);
    testing::Discovery discovery(io, first.discovery_port);
    boost::asio::steady_timer timer(io);
    std::string last;
    std::function<void()> reload = [&] {
        if (const std::string text = read_file(path); text != last) {
            last = text;
            try {
                std::string entries;
                for (const NodeScript& node : read_script(text, path).nodes)
                    if (node.behaviour.lifecycle != "removed")
                        entries.append(entries.empty() ? "" : ",")
                            .append(endpoint_json(node, "127.0.0.1:" + std::to_string(node.port)));
                discovery.publish(entries);
            } catch (const HclErrors& e) {
                std::fprintf(stderr, "%s\n", e.what());
            }
        }
        timer.expires_after(std::chrono::milliseconds(200));
        timer.async_wait([&](const boost::system::error_code&) { reload(); });
    };
    reload();
    io.run();
    return 0;
}

int run_fleet(const std::string& path) {
    boost::asio::io_context io(1);
    Fleet fleet(io, read_script_file(path));
    std::printf("discovery at %s\n", fleet.discovery.address().c_str());
    for (const DataNode& node : fleet.nodes) std::printf("data node at %s\n", node.address().c_str());
    std::fflush(stdout);
    fleet.start();
    io.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("runs test data nodes and discovery from a script");
    std::string script, name;
    const auto add_command = [&](const char* command, const char* what) {
        CLI::App* sub = app.add_subcommand(command, what);
        sub->add_option("SCRIPT", script, "the script (HCL)")->required();
        return sub;
    };
    CLI::App* node = add_command("node", "one data node of the script");
    node->add_option("NAME", name, "the data node's name in the script")->required();
    CLI::App* discovery = add_command("discovery", "discovery, which reloads the script when it changes");
    add_command("fleet", "all data nodes and discovery in one process, with the script's timed changes");
    app.require_subcommand(1);
    CLI11_PARSE(app, argc, argv);
    try {
        if (node->parsed()) return run_node(script, name);
        return discovery->parsed() ? run_discovery(script) : run_fleet(script);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart-fake-fleet: %s\n", e.what());
        return 1;
    }
}
