#include <serving/caller/caller_request.hpp>

#include <boost/beast/http/field.hpp>

#include <charconv>

namespace marjorampath::serving
{

namespace
{

// Maximum value of X-Deadline-Ms: one day
constexpr std::uint32_t max_deadline_ms = 86'400'000;
constexpr std::size_t max_idempotency_key_bytes = 256;

template <class Number>
std::optional<Number> parse_number(std::string_view text) noexcept
{
    Number number{};
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

std::string_view field(caller_message const& message, std::string_view name)
{
    auto const value = message[name];
    return {value.data(), value.size()};
}

} // namespace

std::optional<caller_request> read_caller_request(caller_message const& message,
                                                  std::string& problem)
{
    auto const method = message.method_string();
    auto const target = message.target();
    caller_request request;
    request.message = &message;
    request.route =
        find_route({method.data(), method.size()}, {target.data(), target.size()});

    // If the path names no service, the header X-Service may
    if (request.route.service.empty())
        request.route.service = field(message, "X-Service");

    if (auto const text = field(message, "X-Deadline-Ms"); !text.empty())
    {
        auto const milliseconds = parse_number<std::uint32_t>(text);
        if (!milliseconds || *milliseconds == 0 || *milliseconds > max_deadline_ms)
        {
            problem = "The header X-Deadline-Ms is not a number of milliseconds.";
            return std::nullopt;
        }
        request.deadline = std::chrono::milliseconds(*milliseconds);
    }
    if (auto const text = field(message, "X-Priority"); !text.empty())
    {
        auto const priority = parse_number<std::int32_t>(text);
        if (!priority)
        {
            problem = "The header X-Priority is not a whole number.";
            return std::nullopt;
        }
        request.priority = *priority;
    }
    request.idempotency_key = field(message, "Idempotency-Key");
    if (request.idempotency_key.size() > max_idempotency_key_bytes)
    {
        problem = "The header Idempotency-Key is longer than 256 bytes.";
        return std::nullopt;
    }
    return request;
}

} // namespace marjorampath::serving
