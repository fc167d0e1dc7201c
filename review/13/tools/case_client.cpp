// Client of the review's cases: calls an address once, or reads a stream of events and
// takes it up again at other addresses when its connection breaks.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A connection whose reads fail after a time
class connection
{
public:
    connection(std::string const& address, milliseconds timeout)
        : handle_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const colon = address.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        auto const port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
        timeval limit{};
        limit.tv_sec = seconds.count();
        limit.tv_usec = (timeout - seconds).count() * 1000;
        ::setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        open_ = ::connect(handle_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
    }

    ~connection()
    {
        ::close(handle_);
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    [[nodiscard]] bool open() const noexcept
    {
        return open_;
    }

    void send(std::string_view bytes)
    {
        while (open_ && !bytes.empty())
        {
            auto const sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            open_ = sent > 0;
            bytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
        }
    }

    // Appends what arrives next; false at the end
    bool receive(std::string& to)
    {
        std::array<char, 4096> bytes{};
        auto const size = ::recv(handle_, bytes.data(), bytes.size(), 0);
        open_ = size > 0;
        to.append(bytes.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        return open_;
    }

private:
    int handle_;
    bool open_ = false;
};

std::string request_text(std::string_view method, std::string_view path,
                         std::vector<std::string> const& fields, std::string const& body)
{
    std::string text(method);
    text.append(" ").append(path).append(" HTTP/1.1\r\n");
    for (auto const& field : fields)
        text.append(field).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n\r\n").append(body);
}

// Value of a field in the head of an answer; the name is in lower case
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

// The body of a chunked answer as far as it has arrived; tells whether it has ended
std::string decode_chunks(std::string_view raw, bool& ended)
{
    std::string body;
    ended = false;
    while (true)
    {
        auto const line = raw.find("\r\n");
        if (line == std::string_view::npos)
            return body;
        auto const size =
            std::strtoul(std::string(raw.substr(0, line)).c_str(), nullptr, 16);
        raw.remove_prefix(line + 2);
        if (size == 0)
        {
            ended = true;
            return body;
        }
        if (raw.size() < size + 2)
            return body.append(raw.substr(0, size));
        body.append(raw.substr(0, size));
        raw.remove_prefix(size + 2);
    }
}

// One run of a stream as the client got it
struct run
{
    std::string status;
    std::string head;
    std::string body;
    bool ended = false;
};

run read_stream(std::string const& address, std::string const& text,
                milliseconds deadline)
{
    run result;
    connection link(address, deadline);
    link.send(text);
    std::string raw;
    while (raw.find("\r\n\r\n") == std::string::npos && link.receive(raw))
        ;
    auto const end = raw.find("\r\n\r\n");
    if (end == std::string::npos)
        return result;
    result.head = raw.substr(0, end + 2);
    result.status = raw.substr(9, 3);
    raw.erase(0, end + 4);
    if (field_of(result.head, "transfer-encoding") != "chunked")
        return result;
    do
        result.body = decode_chunks(raw, result.ended);
    while (!result.ended && link.receive(raw));
    return result;
}

// The whole events of a body
std::vector<std::string> whole_events(std::string const& body)
{
    std::vector<std::string> events;
    for (std::size_t begin = 0, end = body.find("\n\n"); end != std::string::npos;
         begin = end + 2, end = body.find("\n\n", begin))
        events.push_back(body.substr(begin, end - begin));
    return events;
}

std::string line_of(std::string const& event, std::string const& name)
{
    auto const begin = event.find(name + ": ");
    if (begin == std::string::npos)
        return {};
    auto const value = begin + name.size() + 2;
    return event.substr(value, event.find('\n', value) - value);
}

int call(std::vector<std::string> const& arguments)
{
    connection link(arguments.at(2), milliseconds(2000));
    auto const body = arguments.size() > 4 ? arguments.at(4) : std::string();
    link.send(request_text(arguments.at(1), arguments.at(3),
                           {"Host: case", "Connection: close"}, body));
    std::string answer;
    while (link.receive(answer))
        ;
    std::cout << answer.substr(std::min<std::size_t>(9, answer.size()), 3) << '\n';
    return answer.empty() ? 1 : 0;
}

// stream NAME PATH DEADLINE_MS ADDRESS... [-- FIELD...]: prints each event's time and
// data
int stream(std::vector<std::string> const& arguments)
{
    auto const& name = arguments.at(1);
    auto const deadline = milliseconds(std::stol(arguments.at(3)));
    std::vector<std::string> addresses;
    std::vector<std::string> common;
    auto* list = &addresses;
    for (std::size_t index = 4; index < arguments.size(); ++index)
    {
        if (arguments[index] == "--")
            list = &common;
        else
            list->push_back(arguments[index]);
    }

    auto const begin = steady::now();
    auto const elapsed = [&]
    { return std::chrono::duration_cast<milliseconds>(steady::now() - begin); };
    std::string last;
    std::string first_attempt;
    std::string data;
    auto const names_attempt = std::getenv("RESUMES") != nullptr;
    for (unsigned attempt = 0; attempt < 12 && elapsed() < deadline; ++attempt)
    {
        auto const& address =
            addresses[std::min<std::size_t>(attempt, 1) % addresses.size()];
        auto const left = deadline - elapsed();
        auto fields = common;
        auto const id = name + "-" + std::to_string(attempt);
        fields.push_back("X-Attempt-Id: " + id);
        fields.push_back("X-Deadline-Ms: " + std::to_string(left.count()));
        if (!last.empty())
            fields.push_back("Last-Event-Id: " + last);
        if (names_attempt && !first_attempt.empty())
            fields.push_back("Resumes: " + first_attempt);
        std::cout << elapsed().count() << " ms sent attempt " << attempt << " to "
                  << address << " behind event " << (last.empty() ? "-" : last)
                  << " with " << left.count() << " ms left\n";
        auto const result = read_stream(
            address, request_text("POST", arguments.at(2), fields, "{}"), left);
        if (first_attempt.empty() && !whole_events(result.body).empty())
            first_attempt = id;
        for (auto const& event : whole_events(result.body))
        {
            last = line_of(event, "id");
            data += line_of(event, "data") + '\n';
        }
        std::cout << elapsed().count() << " ms answer " << result.status
                  << (result.ended ? " whole" : " broken off") << " up to event "
                  << (last.empty() ? "-" : last) << '\n';
        if (result.ended && result.status == "200")
        {
            std::cout << data << "complete\n";
            return 0;
        }
        auto const pause = field_of(result.head, "retry-after");
        auto const wait = pause.empty() ? 0.0 : std::strtod(pause.c_str(), nullptr);
        std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    }
    std::cout << data << "incomplete\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    if (arguments.size() >= 4 && arguments[0] == "call")
        return call(arguments);
    if (arguments.size() >= 5 && arguments[0] == "stream")
        return stream(arguments);
    std::cerr
        << "usage: case_client call METHOD ADDRESS PATH [BODY]\n"
           "       case_client stream NAME PATH DEADLINE_MS ADDRESS... -- FIELD...\n";
    return 2;
}
