#include <serving/host_list/host_entry.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <platform/standin/operator_documents.hpp>
#include <platform/store_codec.hpp>
#include <stdexcept>

namespace marjorampath::test
{

namespace
{

using tcp = boost::asio::ip::tcp;
using serving::format_address;

constexpr auto loopback = boost::asio::ip::address_v4::loopback;

// Returns a loopback address whose port is unused at the time of the call
tcp::endpoint free_address()
{
    boost::asio::io_context context;
    tcp::acceptor const acceptor(context, {loopback(), 0});
    return acceptor.local_endpoint();
}

} // namespace

entry_process::entry_process(options const& values)
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "marjorampath-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create " + pattern);
    folder_ = pattern;
    store_ = std::make_unique<child_process>("marjorampath-standin",
                                             std::vector<std::string>{"users-store"},
                                             file("store.log"));
    publish(values.deployment);
    start_endpoint(values);
    write_settings(values);
    start_node();
    if (!becomes_ready())
        throw std::runtime_error("the node did not become ready");
}

entry_process::~entry_process()
{
    node_.reset();
    endpoint_.reset();
    store_.reset();
    std::error_code ignored;
    if (!std::getenv("MARJORAMPATH_KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string entry_process::file(std::string const& name) const
{
    return (folder_ / name).string();
}

void entry_process::start_endpoint(options const& values)
{
    platform::standin_deployment const deployment;
    std::vector<std::string> const arguments{"users-endpoint",
                                             "--id",
                                             "portal-0",
                                             "--service",
                                             deployment.plain_service,
                                             "--zone",
                                             "zone-a",
                                             "--store",
                                             store_->address_text(),
                                             "--work-ms",
                                             fmt::to_string(values.work_time.count()),
                                             "--plain-bytes",
                                             fmt::to_string(values.plain_body_bytes),
                                             "--slots",
                                             fmt::to_string(values.endpoint_slots),
                                             "--records",
                                             file("records")};
    endpoint_ = std::make_unique<child_process>("marjorampath-standin", arguments,
                                                file("endpoint.log"));
    call(endpoint_->address(), "POST", "/standin/set",
         boost::json::serialize(
             boost::json::object{{"address", endpoint_->address_text()}}));
}

void entry_process::write_settings(options const& values)
{
    callers_ = free_address();
    auto const relay = free_address();
    forwards_ = free_address();
    readiness_ = free_address();
    std::ofstream(file("node.yaml")) << fmt::format(
        "host: \"node-0\"\nzone: \"zone-a\"\ncallers: \"{}\"\n"
        "readiness: \"{}\"\nreadiness_path: \"/readyz\"\nrelay: \"{}\"\n"
        "peers: \"{}\"\nseeds: [\"{}\"]\nstore: \"{}\"\n"
        "outgoing: \"127.0.0.1\"\ngrace_s: {}\n{}",
        format_address(callers_), format_address(readiness_), format_address(relay),
        format_address(forwards_), format_address(relay), store_->address_text(),
        values.grace.count(), values.node_settings);
}

void entry_process::start_node()
{
    node_ = std::make_unique<child_process>(
        "marjorampath-entry", std::vector<std::string>{"--settings", file("node.yaml")},
        file("node.log"), callers_);
}

void entry_process::restart_node()
{
    node_.reset();
    start_node();
}

bool entry_process::becomes_ready() const
{
    return eventually([this]
                      { return call(readiness_, "GET", "/readyz").status == 200; });
}

void entry_process::pause_store(bool paused)
{
    store_->signal(paused ? SIGSTOP : SIGCONT);
}

void entry_process::publish(platform::standin_deployment const& deployment) const
{
    call(store_->address(), "PUT",
         fmt::format("/standin/put?key={}", platform::configuration_key),
         platform::configuration_document(deployment));
}

std::string entry_process::records() const
{
    std::ifstream records(file("records"));
    return {std::istreambuf_iterator<char>(records), {}};
}

std::string entry_process::node_log() const
{
    std::ifstream log(file("node.log"));
    return {std::istreambuf_iterator<char>(log), {}};
}

bool entry_process::has_run(std::string const& attempt) const
{
    auto const wanted = fmt::format("\"attempt\":\"{}\"", attempt);
    std::ifstream records(file("records"));
    for (std::string line; std::getline(records, line);)
        if (line.find("\"event\":\"run\"") != std::string::npos &&
            line.find(wanted) != std::string::npos)
            return true;
    return false;
}

bool entry_process::has_logged(std::string const& text) const
{
    std::ifstream log(file("node.log"));
    for (std::string line; std::getline(log, line);)
        if (line.find(text) != std::string::npos)
            return true;
    return false;
}

bool entry_process::takes_callers() const
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(node_->address(), error);
    return !error;
}

} // namespace marjorampath::test
