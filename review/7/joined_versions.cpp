#include "tools/engine.hpp"
#include "tools/harness.hpp"
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

// Engines of two versions serve for longer than any stream lasts. The last engine of the
// old version leaves; a moment later all nodes are killed and start again. Clients take
// their streams up again.

namespace
{

using namespace review;

constexpr std::size_t nodes = 3;
constexpr std::size_t streams = 8;
constexpr std::int64_t deadline_ms = 15'000;
// Longer than twice the deadline
constexpr std::int64_t served_before_ms = 32'000;
// `drainMs` of the small deployments
constexpr std::int64_t drain_ms = 2'000;
constexpr std::int64_t restart_ms = 1'000;

// One stream of a client
struct stream
{
    std::string name;
    // Identifier of the attempt that received the first event
    std::string first_attempt;
    std::uint64_t last_event = 0;
    // Versions of the software in the text
    std::set<std::string> versions;
    bool complete = false;
};

// Reads whole events; keeps the rest
void take_events(std::string& pending, stream& to)
{
    constexpr std::string_view event_end = "\n\n";
    for (auto end = pending.find(event_end); end != std::string::npos;
         end = pending.find(event_end))
    {
        auto const data = pending.find("data: ");
        constexpr std::size_t data_name = 6;
        constexpr std::size_t id_name = 4;
        to.last_event = std::stoull(pending.substr(id_name));
        to.versions.insert(pending.substr(data + data_name, end - data - data_name));
        pending.erase(0, end + event_end.size());
    }
}

class client
{
public:
    client(fleet& host, record_file& record, stream& mine, std::size_t number)
        : host_(&host), record_(&record), stream_(&mine), number_(number)
    {
    }

    // Asks for the stream, and takes it up again where it breaks off
    void run()
    {
        constexpr unsigned most_retries = 3;
        auto const until = now_ms() + deadline_ms;
        for (unsigned tries = 0; tries <= most_retries && !stream_->complete; ++tries)
        {
            auto const node = choose_node(tries, until);
            auto const answer = attempt(node, tries, until - now_ms());
            if (stream_->complete || now_ms() >= until)
                return;
            auto const wait = field(answer.headers, "Retry-After");
            if (!wait.empty())
                sleep_ms(static_cast<std::int64_t>(std::stod(wait) * 1'000));
        }
    }

private:
    // The balancer sends a client to a node that is ready
    [[nodiscard]] std::size_t choose_node(unsigned tries, std::int64_t until) const
    {
        while (now_ms() < until)
        {
            for (std::size_t step = 0; step < nodes; ++step)
            {
                auto const node = (number_ + tries + step) % nodes;
                if (host_->is_ready(node))
                    return node;
            }
            sleep_ms(100);
        }
        return 0;
    }

    http_answer attempt(std::size_t node, unsigned tries, std::int64_t left) const
    {
        auto const id = stream_->name + "-" + std::to_string(tries);
        http_request request{
            .method = "POST",
            .target = "/streams/x",
            .headers = {{"Host", route_host},
                        {"X-Attempt-Id", id},
                        {"X-Model", model_name},
                        {"X-Token-Count", "1460,160"},
                        {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,a" +
                                                std::to_string(number_) + ":250"},
                        {"X-Deadline-Ms", std::to_string(left)}},
            .body = "{}",
            .peer = {}};
        if (stream_->last_event != 0)
        {
            request.headers.emplace_back("Last-Event-Id",
                                         std::to_string(stream_->last_event));
            request.headers.emplace_back("Resumes", stream_->first_attempt);
        }
        record_->line("client sends " + id + " to node " + std::to_string(node) +
                      " after event " + std::to_string(stream_->last_event));
        std::string pending;
        auto answer = call(host_->front(node), request, left,
                           [&](std::string_view bytes)
                           {
                               if (stream_->first_attempt.empty())
                                   stream_->first_attempt = id;
                               pending += bytes;
                               take_events(pending, *stream_);
                           });
        stream_->complete = answer.status == 200 && answer.complete;
        record_->line(id + " answered " + std::to_string(answer.status) +
                      (answer.complete ? " whole" : " broken off") + ", last event " +
                      std::to_string(stream_->last_event));
        return answer;
    }

    fleet* host_;
    record_file* record_;
    stream* stream_;
    std::size_t number_;
};

verdict play(record_file& record)
{
    fleet host(bin_folder(), record);
    host.put("op/config", configuration(1));
    std::array const names{"node-0", "node-1", "node-2"};
    engine old_engine(host, record, host.other_ip(1), {.id = "i-old", .software = "v1"});
    engine new_engine(host, record, host.other_ip(2), {.id = "i-new", .software = "v2"});
    for (std::size_t index = 0; index < nodes; ++index)
        host.start_node(index, names.at(index), "zone-a");
    constexpr std::int64_t longest_start_ms = 10'000;
    for (std::size_t index = 0; index < nodes; ++index)
        if (!host.await_ready(index, longest_start_ms))
            return verdict::cannot_run;
    sleep_ms(std::max(old_engine.started_at(), new_engine.started_at()) +
             served_before_ms - now_ms());

    std::vector<stream> all(streams);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < streams; ++index)
    {
        all[index].name = "stream-" + std::to_string(index);
        threads.emplace_back([&, index]
                             { client(host, record, all[index], index).run(); });
    }
    sleep_ms(1'000);
    old_engine.retire();
    auto const leaves_at = now_ms() + drain_ms;
    sleep_ms(1'200);
    if (has_trouble())
    {
        for (std::size_t index = 0; index < nodes; ++index)
            host.node(index).signal(SIGKILL);
        for (std::size_t index = 0; index < nodes; ++index)
            host.kill_node(index);
        sleep_ms(leaves_at + 100 - now_ms());
        old_engine.stop();
        sleep_ms(restart_ms - drain_ms + 1'200);
        for (std::size_t index = 0; index < nodes; ++index)
            host.start_node(index, names.at(index), "zone-a");
    }
    else
    {
        sleep_ms(leaves_at + 100 - now_ms());
        old_engine.stop();
    }
    for (auto& thread : threads)
        thread.join();

    auto began_old = false;
    auto joined = false;
    for (auto const& each : all)
    {
        std::string versions;
        for (auto const& version : each.versions)
            versions += " " + version;
        record.line(each.name + " has text of" + versions + ", last event " +
                    std::to_string(each.last_event) +
                    (each.complete ? ", complete" : ", not complete"));
        began_old = began_old || each.versions.contains("v1");
        joined = joined || each.versions.size() > 1;
    }
    if (!began_old)
        return verdict::cannot_run;
    return joined ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return run_case(play);
}
