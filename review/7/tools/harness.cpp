#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t read_bytes = 65'536;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr int hexadecimal = 16;

sockaddr_in to_socket_address(address const& from)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(from.port);
    if (::inet_pton(AF_INET, from.ip.c_str(), &to.sin_addr) != 1)
        throw std::runtime_error("no address: " + from.ip);
    return to;
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character)
                   { return static_cast<char>(std::tolower(character)); });
    return result;
}

std::size_t parse_size(std::string_view text, int base)
{
    std::size_t size = 0;
    std::from_chars(text.data(), text.data() + text.size(), size, base);
    return size;
}

// Waits until a socket can be read; false at the time limit
bool await_readable(int socket, std::int64_t until_ms)
{
    pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
    auto const left = until_ms - now_ms();
    return left > 0 && ::poll(&waiting, 1, static_cast<int>(left)) > 0;
}

// Appends what arrives to a buffer; false at the end of the connection or a time limit
bool receive(int socket, std::string& buffer, std::int64_t until_ms)
{
    if (!await_readable(socket, until_ms))
        return false;
    std::array<char, read_bytes> bytes{};
    auto const size = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

header_list parse_fields(std::string_view head)
{
    header_list fields;
    auto begin = head.find(line_end);
    while (begin != std::string_view::npos && begin + line_end.size() < head.size())
    {
        begin += line_end.size();
        auto const end = std::min(head.find(line_end, begin), head.size());
        auto const line = head.substr(begin, end - begin);
        auto const colon = line.find(':');
        if (colon != std::string_view::npos)
        {
            auto value = line.substr(colon + 1);
            while (value.starts_with(' '))
                value.remove_prefix(1);
            fields.emplace_back(line.substr(0, colon), value);
        }
        begin = end < head.size() ? end : std::string_view::npos;
    }
    return fields;
}

// Decodes the whole chunks at the beginning of a buffer; true if the last one was there
bool take_chunks(std::string& buffer, std::string& output)
{
    while (true)
    {
        auto const end = buffer.find(line_end);
        if (end == std::string::npos)
            return false;
        auto const size =
            parse_size(std::string_view(buffer).substr(0, end), hexadecimal);
        auto const whole = end + line_end.size() + size + line_end.size();
        if (buffer.size() < whole)
            return false;
        output.append(buffer, end + line_end.size(), size);
        buffer.erase(0, whole);
        if (size == 0)
            return true;
    }
}

bool send_text(int socket, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        auto const size =
            ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string head_text(std::string const& first_line, header_list const& headers)
{
    std::string text = first_line + "\r\n";
    for (auto const& [name, value] : headers)
    {
        text += name;
        text += ": ";
        text += value;
        text += line_end;
    }
    return text;
}

// A socket that is closed with this object
class owned_socket
{
public:
    explicit owned_socket(int socket) : socket_(socket) {}
    ~owned_socket()
    {
        if (socket_ >= 0)
            ::close(socket_);
    }
    owned_socket(owned_socket const&) = delete;
    owned_socket& operator=(owned_socket const&) = delete;

    [[nodiscard]] int get() const noexcept
    {
        return socket_;
    }

private:
    int socket_;
};

// Reads the body of an answer whose head was read
void read_body(int socket, std::string& buffer, std::int64_t until_ms,
               http_answer& answer, std::function<void(std::string_view)> const& on_body)
{
    auto const pass_on = [&](std::size_t from)
    {
        if (on_body && answer.body.size() > from)
            on_body(std::string_view(answer.body).substr(from));
    };
    auto const chunked = lower(field(answer.headers, "Transfer-Encoding")) == "chunked";
    auto const length = field(answer.headers, "Content-Length");
    while (true)
    {
        auto const before = answer.body.size();
        if (chunked)
        {
            answer.complete = take_chunks(buffer, answer.body);
        }
        else
        {
            answer.body += buffer;
            buffer.clear();
            answer.complete =
                !length.empty() && answer.body.size() >= parse_size(length, 10);
        }
        pass_on(before);
        if (answer.complete || !receive(socket, buffer, until_ms))
            return;
    }
}

// Reads a request; false at the end of the connection
bool read_request(int socket, std::string& buffer, http_request& request)
{
    constexpr std::int64_t longest_wait_ms = 600'000;
    auto const until = now_ms() + longest_wait_ms;
    auto end = buffer.find(head_end);
    while (end == std::string::npos)
    {
        if (!receive(socket, buffer, until))
            return false;
        end = buffer.find(head_end);
    }
    std::string_view const head(buffer.data(), end + line_end.size());
    auto const first = head.substr(0, head.find(line_end));
    auto const space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    request.headers = parse_fields(head);
    buffer.erase(0, end + head_end.size());
    auto const length = parse_size(field(request.headers, "Content-Length"), 10);
    while (buffer.size() < length)
        if (!receive(socket, buffer, until))
            return false;
    request.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool has_trouble()
{
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::uint16_t free_port(std::string const& ip)
{
    owned_socket const probe(::socket(AF_INET, SOCK_STREAM, 0));
    auto where = to_socket_address({ip, 0});
    socklen_t size = sizeof(where);
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    if (::bind(probe.get(), generic, size) != 0 ||
        ::getsockname(probe.get(), generic, &size) != 0)
        throw std::runtime_error("no free port at " + ip);
    return ntohs(where.sin_port);
}

record_file::record_file(std::string const& path) : file_(path), started_at_(now_ms())
{
    if (!file_)
        throw std::runtime_error("cannot write " + path);
}

void record_file::line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    file_ << now_ms() - started_at_ << " ms  " << text << '\n';
    file_.flush();
}

child::child(std::vector<std::string> const& command, std::string const& log)
{
    std::vector<char*> arguments;
    std::vector<std::string> words = command;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    auto const output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    auto const parent = ::getpid();
    id_ = ::fork();
    if (id_ < 0)
        throw std::runtime_error("cannot start " + command.front());
    if (id_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    ::close(output);
}

child::~child()
{
    kill();
}

void child::signal(int number) const
{
    if (!ended_)
        ::kill(id_, number);
}

void child::kill()
{
    if (ended_)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    ended_ = true;
}

bool child::running()
{
    if (!ended_ && ::waitpid(id_, nullptr, WNOHANG) == id_)
        ended_ = true;
    return !ended_;
}

std::string field(header_list const& headers, std::string_view name)
{
    auto const wanted = lower(name);
    for (auto const& [each, value] : headers)
        if (lower(each) == wanted)
            return value;
    return {};
}

http_answer call(address const& server, http_request const& request,
                 std::int64_t limit_ms,
                 std::function<void(std::string_view)> const& on_body)
{
    http_answer answer;
    auto const until = now_ms() + limit_ms;
    owned_socket const socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto where = to_socket_address(server);
    if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0)
        return answer;
    int const enabled = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    auto headers = request.headers;
    if (field(headers, "Host").empty())
        headers.emplace_back("Host", server.text());
    headers.emplace_back("Content-Length", std::to_string(request.body.size()));
    auto const text =
        head_text(request.method + " " + request.target + " HTTP/1.1", headers) + "\r\n" +
        request.body;
    if (!send_text(socket.get(), text))
        return answer;

    std::string buffer;
    auto end = buffer.find(head_end);
    while (end == std::string::npos)
    {
        if (!receive(socket.get(), buffer, until))
            return answer;
        end = buffer.find(head_end);
    }
    std::string_view const head(buffer.data(), end + line_end.size());
    answer.status =
        static_cast<unsigned>(parse_size(head.substr(head.find(' ') + 1), 10));
    answer.headers = parse_fields(head);
    buffer.erase(0, end + head_end.size());
    read_body(socket.get(), buffer, until, answer, on_body);
    return answer;
}

void hold_open(address const& server, std::string const& text, std::int64_t until_ms)
{
    owned_socket const socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto where = to_socket_address(server);
    if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0)
        return;
    std::string ignored;
    if (send_text(socket.get(), text))
        while (receive(socket.get(), ignored, until_ms))
            ignored.clear();
}

std::string to_hexadecimal(std::size_t size)
{
    std::array<char, 20> text{};
    auto const end =
        std::to_chars(text.data(), text.data() + text.size(), size, hexadecimal);
    return {text.data(), end.ptr};
}

bool responder::send_all(std::string const& text)
{
    if (!send_text(socket_, text))
        sound_ = false;
    return sound_;
}

void responder::reply(unsigned status, header_list const& headers,
                      std::string const& body)
{
    auto all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    send_all(head_text("HTTP/1.1 " + std::to_string(status) + " Answer", all) + "\r\n" +
             body);
}

bool responder::start(header_list const& headers)
{
    auto all = headers;
    all.emplace_back("Transfer-Encoding", "chunked");
    return send_all(head_text("HTTP/1.1 200 OK", all) + "\r\n");
}

bool responder::write(std::string const& text)
{
    return send_all(to_hexadecimal(text.size()) + "\r\n" + text + "\r\n");
}

void responder::finish()
{
    send_all("0\r\n\r\n");
}

http_server::http_server(std::string const& ip, handler answer)
    : answer_(std::move(answer)), address_{ip, 0}
{
    constexpr int backlog = 512;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto where = to_socket_address(address_);
    socklen_t size = sizeof(where);
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    if (::bind(listener_, generic, size) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, generic, &size) != 0)
        throw std::runtime_error("cannot listen at " + ip);
    address_.port = ntohs(where.sin_port);
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (stopped_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [socket, open] : sockets_)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (auto& thread : threads_)
        thread.join();
}

void http_server::accept_connections()
{
    while (!stopped_)
    {
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        auto const socket =
            ::accept4(listener_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int const enabled = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        std::array<char, INET_ADDRSTRLEN> peer{};
        ::inet_ntop(AF_INET, &from.sin_addr, peer.data(), peer.size());
        std::lock_guard const lock(mutex_);
        sockets_[socket] = true;
        threads_.emplace_back([this, socket, ip = std::string(peer.data())]
                              { serve(socket, ip); });
    }
}

void http_server::serve(int socket, std::string const& peer)
{
    std::string buffer;
    http_request request;
    responder answer(socket);
    while (!stopped_ && answer.sound() && read_request(socket, buffer, request))
    {
        request.peer = peer;
        answer_(request, answer);
        request = {};
    }
    std::lock_guard const lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
}

fleet::fleet(std::string bin, record_file& record)
    : bin_(std::move(bin)), record_(&record)
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create " + pattern);
    folder_ = pattern;

    // A network of this process: cases may run at the same time
    constexpr int networks = 200;
    network_ = "127.77." + std::to_string(1 + ::getpid() % networks) + ".";
    front_port_ = free_port(node_ip(0));
    ready_port_ = free_port(node_ip(0));
    control_port_ = free_port(node_ip(0));
    peer_port_ = free_port(node_ip(0));
    metrics_port_ = free_port(node_ip(0));
    auto const store_ip = other_ip(0);
    store_address_ = {store_ip, free_port(store_ip)};
    store_ = std::make_unique<child>(
        std::vector<std::string>{bin_ + "/marjorampath-standin", "users-store",
                                 "--listen", store_address_.text()},
        folder_ + "/store.log");
    constexpr std::int64_t longest_start_ms = 5'000;
    auto const until = now_ms() + longest_start_ms;
    while (call(store_address_, {.target = "/api/kv-range?prefix=x"}, 1'000).status == 0)
    {
        if (now_ms() > until)
            throw std::runtime_error("the store does not answer");
        sleep_ms(20);
    }
}

fleet::~fleet()
{
    for (auto& [index, node] : nodes_)
        node->signal(SIGCONT);
    nodes_.clear();
    store_.reset();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_, ignored);
    else
        std::cerr << "logs: " << folder_ << '\n';
}

std::string fleet::node_ip(std::size_t index) const
{
    return network_ + std::to_string(index + 1);
}

std::string fleet::other_ip(std::size_t index) const
{
    constexpr std::size_t first = 101;
    return network_ + std::to_string(first + index);
}

void fleet::start_node(std::size_t index, std::string const& name,
                       std::string const& zone)
{
    constexpr std::size_t seeds = 3;
    auto const at = [this](std::size_t node, std::uint16_t port) {
        return "\"" + address{node_ip(node), port}.text() + "\"";
    };
    std::string seed_list;
    for (std::size_t seed = 0; seed < seeds; ++seed)
        seed_list += (seed == 0 ? "" : ",") + at(seed, control_port_);
    auto const settings = folder_ + "/" + name + ".yaml";
    std::ofstream(settings) << "host: \"" << name << "\"\nzone: \"" << zone
                            << "\"\ncallers: " << at(index, front_port_)
                            << "\nreadiness: " << at(index, ready_port_)
                            << "\nreadiness_path: \"/api/readyz\"\nrelay: "
                            << at(index, control_port_)
                            << "\npeers: " << at(index, peer_port_) << "\nseeds: ["
                            << seed_list << "]\nstore: \"" << store_address_.text()
                            << "\"\noutgoing: \"" << node_ip(index)
                            << "\"\norder_quiet_ms: 3000\ngrace_s: 8\nretry_ratio: 0.2\n"
                               "retry_window_s: 10\nretry_extra: 58\ndescriptors: 4100\n"
                               "metrics: "
                            << at(index, metrics_port_) << "\n";
    nodes_[index] = std::make_unique<child>(
        std::vector<std::string>{bin_ + "/marjorampath-entry", "--settings", settings},
        folder_ + "/node-" + std::to_string(index) + ".log");
    record_->line("node " + name + (starts_[index]++ == 0 ? " started" : " restarted"));
}

void fleet::kill_node(std::size_t index)
{
    nodes_.at(index)->kill();
    record_->line("node " + std::to_string(index) + " killed");
}

bool fleet::is_ready(std::size_t index) const
{
    constexpr std::int64_t limit_ms = 1'000;
    return call({node_ip(index), ready_port_}, {.target = "/api/readyz"}, limit_ms)
               .status == 200;
}

bool fleet::await_ready(std::size_t index, std::int64_t limit_ms) const
{
    auto const until = now_ms() + limit_ms;
    while (now_ms() < until)
    {
        if (is_ready(index))
            return true;
        sleep_ms(50);
    }
    return false;
}

void fleet::put(std::string const& key, std::string const& value, std::int64_t ttl_ms)
{
    constexpr std::int64_t limit_ms = 2'000;
    auto target = "/standin/put?key=" + key;
    if (ttl_ms != 0)
        target += "&ttl_ms=" + std::to_string(ttl_ms);
    if (call(store_address_, {.method = "PUT", .target = target, .body = value}, limit_ms)
            .status != 200)
        throw std::runtime_error("the store refuses " + key);
}

void fleet::remove(std::string const& key)
{
    constexpr std::int64_t limit_ms = 2'000;
    call(store_address_, {.method = "PUT", .target = "/standin/delete?key=" + key},
         limit_ms);
}

bool fleet::has_logged(std::size_t index, std::string const& text) const
{
    std::ifstream log(folder_ + "/node-" + std::to_string(index) + ".log");
    std::string const all(std::istreambuf_iterator<char>(log), {});
    return all.find(text) != std::string::npos;
}

std::string bin_folder()
{
    auto const program = std::filesystem::read_symlink("/proc/self/exe");
    return (program.parent_path().parent_path() / "bin").string();
}

int run_case(std::function<verdict(record_file&)> const& play)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const* path = std::getenv("RECORD");
    try
    {
        record_file record(path == nullptr ? "record.txt" : path);
        auto const result = play(record);
        record.line(result == verdict::held     ? "the rule was kept"
                    : result == verdict::broken ? "the rule was broken"
                                                : "the case could not run");
        return static_cast<int>(result);
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return static_cast<int>(verdict::cannot_run);
    }
}

} // namespace review
