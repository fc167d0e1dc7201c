#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// What an organisation's quota counts.
enum class quota_unit : std::uint8_t
{
    requests,
    /// Prompt and output tokens.
    tokens
};

/// What the callers of an organisation may send over all hosts together.
struct organisation_quota
{
    quota_unit unit = quota_unit::requests;
    /// Units per second; zero for no limit.
    double rate = 0;
    /// Units that may be used at once.
    double burst = 0;
    /// Units of a request that does not tell its tokens.
    std::uint64_t plain_tokens = 0;
};

/// An organisation whose callers prove by a key that they belong to it.
struct organisation
{
    /// Name; consists of visible ASCII characters.
    std::string name;
    /// Keys of its callers; it may have none.
    std::vector<std::string> keys;
    /// Priority of its requests, which goes before that of their route; zero is the most
    /// urgent.
    std::optional<std::uint32_t> priority;
    organisation_quota quota;
};

} // namespace marjorampath
