#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// Bounds the values of a metric's label, each of which adds a series: those that come
/// behind the first ones share one.
class bounded_labels
{
public:
    /// Constructs a set without values that takes `most` of them.
    explicit bounded_labels(std::size_t most) : most_(most) {}

    /// The label's value for a name; valid as long as this object.
    [[nodiscard]] std::string_view label(std::string_view name)
    {
        auto const known = names_.find(name);
        if (known != names_.end())
            return *known;
        if (names_.size() >= most_)
            return "other";
        return *names_.emplace(name).first;
    }

private:
    std::size_t most_;
    std::set<std::string, std::less<>> names_;
};

} // namespace marjorampath::serving
