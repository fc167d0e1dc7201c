// Stands before an engine stand-in and answers GET /api/kv-list for it: it keeps the
// prompt parts of all requests that the engine has begun to run. All else passes through.

#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

// Parts that the engine keeps, with their tokens
class kept_parts
{
public:
    void add(std::string_view list)
    {
        std::lock_guard const lock(mutex_);
        while (!list.empty())
        {
            auto const comma = std::min(list.find(','), list.size());
            auto const part = list.substr(0, comma);
            auto const colon = std::min(part.find(':'), part.size());
            if (colon < part.size())
                tokens_[std::string(part.substr(0, colon))] = part.substr(colon + 1);
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }

    std::string json()
    {
        std::lock_guard const lock(mutex_);
        std::string held;
        for (auto const& [id, tokens] : tokens_)
        {
            held.append(held.empty() ? "" : ",").append(R"(["",")").append(id);
            held.append("\",").append(tokens).append(R"(,"m0"])");
        }
        return R"({"epoch":1,"next":1,"held":[)" + held + "]}";
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> tokens_;
};

sockaddr_in read_address(std::string const& text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    auto const colon = text.find(':');
    auto const port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

void set_no_delay(int handle)
{
    int const enabled = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bool send_all(int handle, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const sent = ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Value of a field; the name is in lower case
std::string field_of(std::string const& head, std::string const& name)
{
    std::string lower;
    for (char const letter : head)
        lower += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    auto const begin = lower.find("\r\n" + name + ":");
    if (begin == std::string::npos)
        return {};
    auto const value = head.find_first_not_of(' ', begin + name.size() + 3);
    return head.substr(value, head.find("\r\n", value) - value);
}

// One connection of a node, and the one to the engine that belongs to it
class link_pair
{
public:
    link_pair(int node, int engine, kept_parts& parts)
        : node_(node), engine_(engine), parts_(&parts)
    {
        set_no_delay(node);
        set_no_delay(engine);
    }

    ~link_pair()
    {
        ::close(node_);
        ::close(engine_);
    }

    link_pair(link_pair const&) = delete;
    link_pair& operator=(link_pair const&) = delete;

    // Passes on requests, one after another
    void pass_requests()
    {
        std::string read;
        while (true)
        {
            auto const head_end = read.find("\r\n\r\n");
            if (head_end == std::string::npos)
            {
                if (!receive(node_, read))
                    break;
                continue;
            }
            auto const head = read.substr(0, head_end + 2);
            auto const length = field_of(head, "content-length");
            auto const size = head_end + 4 + std::strtoul(length.c_str(), nullptr, 10);
            if (read.size() < size)
            {
                if (!receive(node_, read))
                    break;
                continue;
            }
            auto const request = read.substr(0, size);
            read.erase(0, size);
            if (!pass(head, request))
                break;
        }
        ::shutdown(node_, SHUT_RDWR);
        ::shutdown(engine_, SHUT_RDWR);
    }

    // Passes on answers as they arrive; the parts of a request are kept once it runs
    void pass_answers()
    {
        std::string read;
        while (receive(engine_, read))
        {
            if (read.starts_with("HTTP/1.1 200"))
            {
                std::lock_guard const lock(mutex_);
                parts_->add(pending_);
                pending_.clear();
            }
            if (!send_all(node_, read))
                break;
            read.clear();
        }
        ::shutdown(node_, SHUT_RDWR);
        ::shutdown(engine_, SHUT_RDWR);
    }

private:
    static bool receive(int handle, std::string& to)
    {
        std::array<char, 16384> bytes{};
        auto const size = ::recv(handle, bytes.data(), bytes.size(), 0);
        if (size <= 0)
            return false;
        to.append(bytes.data(), static_cast<std::size_t>(size));
        return true;
    }

    bool pass(std::string const& head, std::string const& request)
    {
        if (head.starts_with("GET /api/kv-list"))
        {
            auto const body = parts_->json();
            return send_all(node_, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                       std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        {
            std::lock_guard const lock(mutex_);
            pending_ = field_of(head, "x-prompt-prefix");
        }
        return send_all(engine_, request);
    }

    int node_;
    int engine_;
    kept_parts* parts_;
    std::mutex mutex_;
    // Parts of the request that was passed on last
    std::string pending_;
};

void serve(int node, sockaddr_in const& engine, kept_parts& parts)
{
    auto const upstream = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(upstream, reinterpret_cast<sockaddr const*>(&engine), sizeof(engine)) !=
        0)
    {
        ::close(upstream);
        ::close(node);
        return;
    }
    auto const links = std::make_shared<link_pair>(node, upstream, parts);
    std::thread([links] { links->pass_answers(); }).detach();
    std::thread([links] { links->pass_requests(); }).detach();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::cerr << "usage: kept_parts_proxy ENGINE_ADDRESS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto const engine = read_address(argv[1]);
    auto address = read_address("127.0.0.1:0");
    auto const listener = ::socket(AF_INET, SOCK_STREAM, 0);
    socklen_t size = sizeof(address);
    constexpr int backlog = 128;
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener, backlog) != 0 ||
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 2;
    std::cout << "listening on 127.0.0.1:" << ntohs(address.sin_port) << std::endl;
    kept_parts parts;
    while (true)
    {
        auto const node = ::accept(listener, nullptr, nullptr);
        if (node >= 0)
            serve(node, engine, parts);
    }
}
