// The stand-in database: one small replicated database for trials on one machine.
#include "daisyrelay/standin.h"

#include <csignal>
#include <iostream>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_string(id, "", "Identifier that it announces");
DEFINE_string(service, "rotable-db", "Service");
DEFINE_string(group, "g1", "Group");
DEFINE_string(zone, "", "Availability zone");
DEFINE_string(host, "127.0.0.1", "Address to listen on");
DEFINE_uint32(port, 0, "Port to listen on");
DEFINE_string(entries, "", "Entries to announce to, as host:port,host:port");
DEFINE_uint32(connections, 16, "Most connections it accepts");
DEFINE_uint32(slots, 2, "Statements it runs at once");
DEFINE_uint32(connect_ms, 12, "Time that a new connection takes");
DEFINE_uint32(service_us, 1000, "Time that a statement takes, in microseconds");
DEFINE_uint32(lag_ms, 0, "Delay before a replica applies what it received");

static std::vector<daisyrelay::Endpoint> parseEndpoints(const std::string &text)
{
    std::vector<daisyrelay::Endpoint> result;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::size_t colon = part.rfind(':');
        if (colon != std::string::npos) {
            result.push_back({ part.substr(0, colon), static_cast<std::uint16_t>(std::stoul(part.substr(colon + 1))) });
        }
    }
    return result;
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("daisyrelay-standin --id ID --zone ZONE --port PORT --entries HOST:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_id.empty() || FLAGS_zone.empty() || FLAGS_port == 0) {
        std::cerr << "daisyrelay-standin: --id, --zone and --port are required\n";
        return 2;
    }
    daisyrelay::StandinOptions options;
    options.id = { FLAGS_id };
    options.group = { { FLAGS_service }, { FLAGS_group } };
    options.zone = { FLAGS_zone };
    options.listen = { FLAGS_host, static_cast<std::uint16_t>(FLAGS_port) };
    options.entries = parseEndpoints(FLAGS_entries);
    options.maxConnections = FLAGS_connections;
    options.slots = FLAGS_slots;
    options.connectDelay = std::chrono::milliseconds(FLAGS_connect_ms);
    options.serviceTime = std::chrono::microseconds(FLAGS_service_us);
    options.replicationLag = std::chrono::milliseconds(FLAGS_lag_ms);

    boost::asio::io_context context(1);
    daisyrelay::StandinServer server(context, options);
    if (const daisyrelay::Expected<void> started = server.start(); !started) {
        std::cerr << "daisyrelay-standin: " << started.error().detail << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
