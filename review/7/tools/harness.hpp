#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

// What the scripts of the review share: processes, a small HTTP client and server, and a
// fleet of entry nodes with the store's stand-in.
namespace review
{

/// Exit statuses of a case.
enum class verdict : int
{
    held = 0,
    broken = 1,
    cannot_run = 2
};

/// Milliseconds of the steady clock.
std::int64_t now_ms();

/// Milliseconds since the Unix epoch.
std::int64_t wall_ms();

/// Waits.
void sleep_ms(std::int64_t milliseconds);

/// Whether the case plays its disruption: not if the variable TROUBLE is 0.
bool has_trouble();

/// A loopback address.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// A port of a loopback address that is free at the time of the call.
std::uint16_t free_port(std::string const& ip);

/// The file with what was sent, answered and run: a line each, with the time since the
/// start of the case. May be used by several threads.
class record_file
{
public:
    explicit record_file(std::string const& path);

    /// Appends a line.
    void line(std::string const& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t started_at_;
};

/// A process that ends with this object, or with this program.
class child
{
public:
    /// Starts a program; its output goes to `log`.
    child(std::vector<std::string> const& command, std::string const& log);
    ~child();
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// Kills the process and waits for its end.
    void kill();

    /// Whether it still runs.
    [[nodiscard]] bool running();

    /// Process identifier.
    [[nodiscard]] pid_t id() const noexcept
    {
        return id_;
    }

private:
    pid_t id_ = -1;
    bool ended_ = false;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// The value of a field; empty if it is missing.
std::string field(header_list const& headers, std::string_view name);

/// A request of a client.
struct http_request
{
    std::string method = "GET";
    std::string target;
    header_list headers;
    std::string body;
    /// Address from which it came, at a server.
    std::string peer;
};

/// An answer as far as it was received.
struct http_answer
{
    /// Zero if no head was received.
    unsigned status = 0;
    header_list headers;
    std::string body;
    /// Whether the whole body was received.
    bool complete = false;
};

/// Sends a request on a new connection and reads the answer until its end, the end of
/// the connection or a time limit. `on_body` gets the body as it arrives.
http_answer call(address const& server, http_request const& request,
                 std::int64_t limit_ms,
                 std::function<void(std::string_view)> const& on_body = {});

/// Sends a text on a new connection and keeps that open until a time, or until the server
/// closes it.
void hold_open(address const& server, std::string const& text, std::int64_t until_ms);

/// A size as in the head of a chunk.
std::string to_hexadecimal(std::size_t size);

/// Answers one request of a `http_server`.
class responder
{
public:
    explicit responder(int socket) : socket_(socket) {}

    /// Sends a complete answer.
    void reply(unsigned status, header_list const& headers, std::string const& body);

    /// Sends the head of a chunked answer.
    bool start(header_list const& headers);

    /// Sends a chunk; false if the client is gone.
    bool write(std::string const& text);

    /// Ends a chunked answer.
    void finish();

    /// Whether the connection may be used again.
    [[nodiscard]] bool sound() const noexcept
    {
        return sound_;
    }

    /// Closes the connection after this request.
    void drop() noexcept
    {
        sound_ = false;
    }

private:
    bool send_all(std::string const& text);

    int socket_;
    bool sound_ = true;
};

/// A server with a thread for each connection.
class http_server
{
public:
    using handler = std::function<void(http_request const&, responder&)>;

    http_server(std::string const& ip, handler answer);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    [[nodiscard]] address const& at() const noexcept
    {
        return address_;
    }

    /// Closes the listening socket and all connections, as when a process ends.
    void stop();

private:
    void accept_connections();
    void serve(int socket, std::string const& peer);

    handler answer_;
    address address_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::map<int, bool> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Entry nodes on loopback addresses of their own, before the store's stand-in.
class fleet
{
public:
    /// Starts the store. `bin` has the programs.
    fleet(std::string bin, record_file& record);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// Starts a node, or starts it again; the first three are the seeds.
    void start_node(std::size_t index, std::string const& name, std::string const& zone);

    /// Kills a node.
    void kill_node(std::size_t index);

    /// Process of a node.
    child& node(std::size_t index)
    {
        return *nodes_.at(index);
    }

    /// Address for the clients of a node.
    [[nodiscard]] address front(std::size_t index) const
    {
        return {node_ip(index), front_port_};
    }

    /// Whether a node says that it is ready.
    [[nodiscard]] bool is_ready(std::size_t index) const;

    /// Waits until a node is ready.
    [[nodiscard]] bool await_ready(std::size_t index, std::int64_t limit_ms) const;

    /// Writes an item of the operator or of an engine.
    void put(std::string const& key, std::string const& value, std::int64_t ttl_ms = 0);

    /// Removes an item.
    void remove(std::string const& key);

    /// Address of the store.
    [[nodiscard]] address const& store() const noexcept
    {
        return store_address_;
    }

    /// A loopback address that no node has.
    [[nodiscard]] std::string other_ip(std::size_t index) const;

    /// Whether a node has logged a text.
    [[nodiscard]] bool has_logged(std::size_t index, std::string const& text) const;

private:
    [[nodiscard]] std::string node_ip(std::size_t index) const;

    std::string bin_;
    record_file* record_;
    std::string folder_;
    std::string network_;
    address store_address_;
    std::unique_ptr<child> store_;
    std::map<std::size_t, std::unique_ptr<child>> nodes_;
    std::map<std::size_t, unsigned> starts_;
    std::uint16_t front_port_ = 0;
    std::uint16_t ready_port_ = 0;
    std::uint16_t control_port_ = 0;
    std::uint16_t peer_port_ = 0;
    std::uint16_t metrics_port_ = 0;
};

/// A program and its folder by the path of a case's program, `target/review-2/NAME`.
std::string bin_folder();

/// Runs a case; an exception means that it could not run.
int run_case(std::function<verdict(record_file&)> const& play);

} // namespace review
