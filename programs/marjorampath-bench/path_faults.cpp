#include <programs/marjorampath-bench/path_faults.hpp>
#include <programs/marjorampath-bench/stand_in_client.hpp>

#include <array>
#include <utility>

namespace marjorampath::bench
{

namespace
{

struct fault
{
    char const* path;
    char const* body;
};

constexpr std::array faults{
    fault{"/standin/crash", "{}"},
    fault{"/standin/set", R"({"load_failures":2})"},
    fault{"/standin/set", R"({"cut_streams":3,"cut_after":2})"},
    fault{"/standin/set", R"({"cut_answers":3})"},
};

// Interval of checks whether to stop
constexpr std::chrono::milliseconds stop_poll_interval(50);

} // namespace

path_faults::path_faults(std::vector<boost::asio::ip::tcp::endpoint> engines,
                         std::chrono::milliseconds interval)
    : engines_(std::move(engines)), interval_(interval)
{
    if (!engines_.empty())
        thread_ = std::thread([this] { run(); });
}

path_faults::~path_faults()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void path_faults::run()
{
    auto due = std::chrono::steady_clock::now() + interval_;
    while (!stopping_)
    {
        std::this_thread::sleep_for(stop_poll_interval);
        if (std::chrono::steady_clock::now() < due)
            continue;

        // Injects one kind of fault into every engine, then the next kind
        auto const number = count_.load();
        auto const& engine = engines_[number % engines_.size()];
        auto const& next = faults[number / engines_.size() % faults.size()];
        post_to_stand_in(engine, next.path, next.body, {});
        ++count_;
        due += interval_;
    }
}

} // namespace marjorampath::bench
