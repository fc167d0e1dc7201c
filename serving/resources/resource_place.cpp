#include <serving/resources/resource_place.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

// Bytes that are reserved at once, so that a message does not ask for each of its pieces
constexpr std::size_t reservation_step_bytes = 32'768;

} // namespace

resource_place::~resource_place()
{
    close();
}

admission resource_place::open(std::shared_ptr<host_resources> resources,
                               connection_class of, eviction_handler on_evicted)
{
    if (!resources)
        return admission::admitted;
    on_evicted_ = std::move(on_evicted);
    auto const opened =
        resources->open(of, [this](budget_event event) { on_event(event); });
    if (opened.decision == admission::rejected)
        return opened.decision;
    resources_ = std::move(resources);
    number_ = opened.connection;
    return opened.decision;
}

void resource_place::close()
{
    if (auto const resources = std::exchange(resources_, nullptr))
        resources->close(number_);
}

void resource_place::on_idle(time_point now)
{
    if (!resources_)
        return;
    auto const gives_back = std::exchange(reserved_, 0) > 0;
    resources_->budget().on_idle(number_, now);
    if (gives_back)
        resources_->settle_soon();
}

void resource_place::on_receiving(time_point now)
{
    if (resources_)
        resources_->budget().on_receiving(number_, now);
}

void resource_place::on_working(time_point begun)
{
    if (resources_)
        resources_->budget().on_working(number_, begun);
}

void resource_place::on_sending(bool is_stream, time_point now)
{
    if (resources_)
        resources_->budget().on_sending(number_, is_stream, now);
}

void resource_place::on_progress(std::size_t bytes, time_point now)
{
    if (resources_)
        resources_->budget().on_progress(number_, bytes, now);
}

bool resource_place::take_discard(std::size_t bytes, time_point now)
{
    return !resources_ || resources_->budget().take_discard(bytes, now);
}

asio::awaitable<error_kind> resource_place::hold(std::size_t bytes)
{
    if (holds(bytes))
        co_return error_kind::none;
    auto const least = bytes - message_allowance_bytes - reserved_;
    auto const most = resources_->budget().limits().connection_message_bytes;
    auto const wanted = std::max(
        least, std::min(most - std::min(most, reserved_), reservation_step_bytes));
    auto const answer = resources_->reserve(number_, wanted);
    if (answer == reservation::too_large)
        co_return error_kind::body_too_large;
    granted_ = answer == reservation::made;
    if (answer == reservation::waiting)
    {
        wait_.emplace(co_await asio::this_coro::executor,
                      asio::steady_timer::duration::max());
        boost::system::error_code ignored;
        co_await wait_->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        wait_.reset();
    }
    if (!granted_)
        co_return error_kind::host_full;
    reserved_ += wanted;
    co_return error_kind::none;
}

void resource_place::cancel_hold()
{
    if (!wait_)
        return;
    if (resources_)
        resources_->budget().stop_waiting(number_);
    wait_->cancel();
}

void resource_place::on_event(budget_event event)
{
    if (event == budget_event::granted || event == budget_event::refused)
    {
        granted_ = event == budget_event::granted;
        if (wait_)
            wait_->cancel();
        return;
    }
    on_evicted_(event);
}

} // namespace marjorampath::serving
