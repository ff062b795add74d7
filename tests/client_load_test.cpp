// Tests one router process under misbehaving clients, with the smallest memory that the platform states (32
// MB) and 1,024 descriptors: its peak memory, the time of other clients' answers, and attempts for clients
// that have left.
#include <catch2/catch.hpp>

#include "testing/client_load_rig.hpp"

using namespace tealcart::testing;

namespace {

using Ms = std::chrono::milliseconds;

// As many as the router takes on, and a third more, which wait for a connection.
constexpr std::size_t crowd = 900;
constexpr Ms load_time{4000};

// Runs ordinary queries beside misbehaving clients.
struct LoadedRouter {
    explicit LoadedRouter(ClientLoadOptions options = {}) : rig(io, with_programs(std::move(options))) {}

    static ClientLoadOptions with_programs(ClientLoadOptions options) {
        options.programs = PROGRAMS;
        return options;
    }
    void run(Misbehaviour misbehaviour, std::size_t count) {
        rig.start_queries();
        rig.run_for(Ms(300));
        BadClients clients(rig.port(), misbehaviour, count, 1);
        rig.run_for(load_time);
        rig.finish_queries();
        clients.stop();
        for (const std::string& line : rig.router().lines())
            if (line.find("the event loop was busy") != line.npos || line.find("clients: ") == 0)
                std::printf("  %s\n", line.c_str());
        departures = clients.departures();
        if (is_malformed(misbehaviour)) {
            CHECK_FALSE(clients.answers().contains(429));
            CHECK_FALSE(clients.answers().contains(503));
        }
        UNSCOPED_INFO(rig.answers().text() << "; peak memory " << rig.peak_memory_bytes() / 1000
                                           << " KB; bad clients sent " << clients.bytes_sent() << " bytes");
        std::printf("%s; peak memory %zu KB; bad clients sent %llu bytes\n", rig.answers().text().c_str(),
                    rig.peak_memory_bytes() / 1000, static_cast<unsigned long long>(clients.bytes_sent()));
    }
    void check_memory() {
        REQUIRE_FALSE(rig.router().ended());
        CHECK(rig.peak_memory_bytes() > 0);
        CHECK(rig.peak_memory_bytes() < rig.memory_limit_bytes());
    }
    void check_answers() {
        const AnswerCounts answers = rig.answers();
        CHECK(answers.queries > 150);
        CHECK(answers.late == 0);
        for (const std::string& query : rig.late_queries()) FAIL_CHECK(query);
        CHECK(answers.served > answers.queries / 2);
    }

    boost::asio::io_context io{1};
    ClientLoadRig rig;
    std::vector<Departure> departures;
};

}  // namespace

TEST_CASE("hundreds of clients that stop in a body keep the process within its memory") {
    LoadedRouter router;
    router.run(Misbehaviour::stops_in_body, crowd);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("hundreds of clients that write a body slowly keep the process within its memory") {
    LoadedRouter router;
    router.run(Misbehaviour::writes_slowly, crowd);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("hundreds of clients that send heads of many fields keep the process within its memory") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_many_fields, crowd);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("idle clients that fill the descriptors many times over make no other client's answer late") {
    ClientLoadOptions options;
    options.sockets = 256;
    LoadedRouter router(options);
    router.run(Misbehaviour::idles, 600);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("clients that send trailers without end keep the process within its memory, and others in time") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_endless_trailers, 12);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("hundreds of clients that read no answers keep the process within its memory") {
    LoadedRouter router;
    router.run(Misbehaviour::reads_no_answers, crowd);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("clients that read no answers on every connection make no other client wait for a connection") {
    ClientLoadOptions options;
    options.memory_mb = 192;  // so that none of them is given up for memory
    options.sockets = 256;
    LoadedRouter router(options);
    router.run(Misbehaviour::reads_no_answers, 600);
    router.check_memory();
    router.check_answers();
}

TEST_CASE("queries that wait for silent data nodes on every connection make no other client wait for one") {
    ClientLoadOptions options;
    options.memory_mb = 192;  // so that none of them is refused for memory
    options.sockets = 256;
    LoadedRouter router(options);
    router.rig.silence_nodes(true);
    router.run(Misbehaviour::reads_no_answers, 600);
    CHECK(router.rig.answers().late == 0);
    router.check_memory();
}

TEST_CASE("large texts of clients that leave while data nodes are silent stay within the memory") {
    LoadedRouter router;
    router.rig.silence_nodes(true);
    router.run(Misbehaviour::asks_for_large_values, 300);
    router.check_memory();
}

TEST_CASE("large texts stay within the memory although attempts at silent data nodes can't be cancelled") {
    ClientLoadOptions options;
    options.may_cancel = false;
    options.most_held = 4000;
    LoadedRouter router(options);
    router.rig.silence_nodes(true);
    router.run(Misbehaviour::asks_for_large_values, 300);
    router.check_memory();
}

TEST_CASE("large texts to data nodes that read nothing stay within the memory") {
    ClientLoadOptions options;
    options.most_held = 4000;
    LoadedRouter router(options);
    router.rig.hang_nodes();
    router.run(Misbehaviour::asks_for_large_values, 300);
    router.check_memory();
}

TEST_CASE("one client that sends nested bodies at full speed makes no other client's answer late") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_nested_bodies, 1);
    router.check_answers();
    router.check_memory();
}

TEST_CASE("twelve clients that send nested bodies at full speed make no other client's answer late") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_nested_bodies, 12);
    router.check_answers();
    router.check_memory();
}

TEST_CASE("hundreds of clients that send nested bodies at full speed make no other client's answer late") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_nested_bodies, 600);
    router.check_answers();
    router.check_memory();
}

TEST_CASE("one client that sends unsound requests under new names makes no other client's answer late") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_unsound_requests, 1);
    router.check_answers();
    router.check_memory();
}

TEST_CASE("hundreds of clients that send unsound requests make no other client's answer late") {
    LoadedRouter router;
    router.run(Misbehaviour::sends_unsound_requests, 300);
    router.check_answers();
    router.check_memory();
}

TEST_CASE("no attempt begins for clients that close their connection with much still unread") {
    LoadedRouter router;
    router.run(Misbehaviour::leaves_with_unread, 20);
    CHECK(router.departures.size() > 1000);
    const auto late_attempts = router.rig.attempts_after(router.departures, Ms(100));
    for (const std::string& attempt : late_attempts) UNSCOPED_INFO(attempt);
    CHECK(late_attempts.empty());
    router.check_memory();
}
