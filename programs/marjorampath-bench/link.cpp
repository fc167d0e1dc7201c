#include <programs/marjorampath-bench/link_messages.hpp>
#include <programs/marjorampath-bench/subcommand.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/link/kj_loop.hpp>
#include <serving/link/node_listener.hpp>
#include <serving/link/peer_link.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorampath::bench
{

namespace
{

namespace asio = boost::asio;
using namespace marjorampath::serving;

host_id const peer_host(2);
constexpr auto call_timeout = std::chrono::seconds(30);

double processor_seconds()
{
    timespec value{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

/// Starts one call; the argument is called when the reply has arrived.
using call_function = std::function<void(std::function<void()>)>;

/// Makes `calls` calls with at most `window` in flight, and prints the rate and the
/// processor time.
void measure(std::string const& name, asio::io_context& context,
             call_function const& start_call, std::size_t window, std::size_t calls)
{
    std::size_t started = 0;
    std::size_t finished = 0;
    std::function<void()> next = [&]
    {
        if (started == calls)
            return;
        ++started;
        start_call(
            [&]
            {
                ++finished;
                next();
            });
    };
    auto const start_time = boot_now();
    auto const processor_start = processor_seconds();
    for (std::size_t index = 0; index < window; ++index)
        next();
    while (finished < calls)
        context.run_one();
    auto const seconds = std::chrono::duration<double>(boot_now() - start_time).count();
    auto const used = processor_seconds() - processor_start;
    auto const count = static_cast<double>(calls);
    fmt::print("{:14} window {:3}  {:9.0f} round trips/s  {:6.2f} us processor time a "
               "call, both ends\n",
               name, window, count / seconds, used / count * 1e6);
}

probe sample_probe()
{
    probe message;
    for (std::uint64_t index = 1; index <= 8; ++index)
    {
        host_record record;
        record.host = host_id(index);
        record.incarnation = index;
        message.updates.hosts.push_back(record);
    }
    return message;
}

void measure_rpc(std::vector<std::size_t> const& windows, std::size_t calls)
{
    asio::io_context context{1};
    kj_loop loop(context);
    node_service service;
    service.hello = [](node_hello const&, reply_function<node_hello> const& reply)
    { reply({.host = peer_host}); };
    service.on_probe = [](probe const& request, reply_function<probe_reply> const& reply)
    {
        probe_reply answer;
        answer.sequence = request.sequence;
        answer.updates = request.updates;
        reply(answer);
    };
    node_listener listener(context, {.address = {asio::ip::address_v4::loopback(), 0}},
                           service);
    if (listener.open())
        throw std::runtime_error("cannot listen");
    auto link = std::make_shared<peer_link>(
        context, peer_link::options{.address = listener.address(), .peer = peer_host});
    auto const message = sample_probe();
    auto const start_call = [&](std::function<void()> const& done)
    {
        link->call(message, call_timeout,
                   [done](std::error_code error, probe_reply const&)
                   {
                       if (error)
                           throw std::runtime_error(error.message());
                       done();
                   });
    };
    for (auto const window : windows)
        measure("rpc", context, start_call, window, calls);
    link.reset();
    listener.close();
    loop.drain();
}

void measure_messages(std::vector<std::size_t> const& windows, std::size_t calls)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket client_socket(context);
    client_socket.connect(acceptor.local_endpoint());
    auto server_socket = acceptor.accept();

    // The server replies with the same updates
    std::unique_ptr<message_pipe> server;
    server = std::make_unique<message_pipe>(
        std::move(server_socket),
        [&](capnp::MessageReader& reader)
        {
            probe request;
            decode(reader.getRoot<schema::Probe>(), request);
            probe_reply answer;
            answer.sequence = request.sequence;
            answer.updates = request.updates;
            capnp::MallocMessageBuilder builder;
            encode(answer, builder.initRoot<schema::ProbeReply>());
            server->send(builder);
        });
    std::unordered_map<std::uint64_t, std::function<void()>> pending;
    message_pipe client(std::move(client_socket),
                        [&](capnp::MessageReader& reader)
                        {
                            probe_reply answer;
                            decode(reader.getRoot<schema::ProbeReply>(), answer);
                            auto const found = pending.find(answer.sequence);
                            auto const done = std::move(found->second);
                            pending.erase(found);
                            done();
                        });
    server->start();
    client.start();
    auto message = sample_probe();
    auto const start_call = [&](std::function<void()> done)
    {
        ++message.sequence;
        pending.emplace(message.sequence, std::move(done));
        capnp::MallocMessageBuilder builder;
        encode(message, builder.initRoot<schema::Probe>());
        client.send(builder);
    };
    for (auto const window : windows)
        measure("messages", context, start_call, window, calls);
}

} // namespace

int run_link(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command(
        "Calls between nodes: Cap'n Proto RPC compared with plain messages", ' ',
        "0.1.0");
    TCLAP::ValueArg<std::size_t> calls("", "calls", "Calls of each measurement", false,
                                       100'000, "number", command);
    command.parse(arguments);
    std::vector<std::size_t> const windows{1, 64};
    measure_rpc(windows, calls.getValue());
    measure_messages(windows, calls.getValue());
    return 0;
}

} // namespace marjorampath::bench
