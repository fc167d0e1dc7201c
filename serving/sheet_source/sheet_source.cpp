#include <serving/remote/remote_error.hpp>
#include <serving/sheet_source/sheet_source.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;

sheet_source::sheet_source(asio::any_io_executor const& executor, options values,
                           sheet_holder& holder, sheet_handler on_sheet,
                           failure_handler on_failure)
    : options_(std::move(values)), client_(executor, options_.server), timer_(executor),
      delays_(options_.delays), holder_(holder), on_sheet_(std::move(on_sheet)),
      on_failure_(std::move(on_failure))
{
}

void sheet_source::stop()
{
    stopped_ = true;
    timer_.cancel();
    client_.close();
}

void sheet_source::fail(std::error_code error, std::vector<sheet_problem> problems)
{
    if (!stopped_ && on_failure_)
        on_failure_({.error = error, .problems = std::move(problems)});
}

asio::awaitable<void> sheet_source::run()
{
    while (!stopped_)
    {
        bool const worked = co_await watch_once();
        if (worked)
        {
            delays_.reset();
            continue;
        }
        if (stopped_)
            break;

        // Wait before the next attempt
        boost::system::error_code ignored;
        timer_.expires_after(delays_.next());
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> sheet_source::watch_once()
{
    auto const newer = co_await client_.wait_for_newer(sheet_manifest_key, revision_,
                                                       options_.watch_wait);
    if (newer.error == remote_error::not_modified)
        co_return true;
    if (newer.error)
    {
        fail(newer.error, {});
        co_return false;
    }

    // A service that was replaced may have started its revisions again, and a stale one
    // may answer an older value: both must not turn the watch into a busy loop
    bool const advanced = newer.revision > revision_;
    auto read = read_sheet_manifest(newer.value);
    if (auto* problems = std::get_if<std::vector<sheet_problem>>(&read))
    {
        revision_ = newer.revision;
        fail({}, std::move(*problems));
        co_return advanced;
    }

    auto manifest = std::get<sheet_manifest>(std::move(read));
    bool const taken = co_await take(std::move(manifest));
    if (taken)
        revision_ = newer.revision;
    co_return taken&& advanced;
}

asio::awaitable<bool> sheet_source::take(sheet_manifest manifest)
{
    if (!holder_.is_newer(manifest))
        co_return true;

    // Fetch the parts that the sheet in force does not have
    std::vector<sheet_part> parts;
    for (auto const& entry : manifest.parts)
    {
        sheet_part part{.name = entry.name, .text = {}};
        if (auto const* known = holder_.find_part(entry.digest))
        {
            part.text = *known;
        }
        else
        {
            auto const key = fmt::format("sheet/part/{}", entry.digest);
            auto read = co_await client_.read(key);
            if (read.error)
            {
                fail(read.error, {});
                co_return false;
            }
            part.text = std::move(read.value);
        }
        parts.push_back(std::move(part));
    }

    auto const verdict = holder_.offer(manifest, std::move(parts));
    if (verdict == sheet_offer_result::rejected)
        fail({}, holder_.problems());
    if (verdict == sheet_offer_result::in_force && on_sheet_)
        on_sheet_(holder_.current());
    co_return true;
}

} // namespace marjorampath::serving
