#include <serving/node/service_request.hpp>
#include <serving/node/traffic_worker.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

// Interval at which freed memory is given back to the system
constexpr auto memory_interval = std::chrono::seconds(1);

connection_pool_options pool_options(connection_pool_options options,
                                     std::shared_ptr<host_resources> resources)
{
    options.resources = std::move(resources);
    return options;
}

} // namespace

traffic_worker::traffic_worker(traffic_worker_options const& options,
                               asio::io_context& control, grant_service const& service)
    : work_(loop_.get_executor()), control_(&control),
      resources_(std::make_shared<host_resources>(
          loop_, resource_budget_options{.limits = options.resources})),
      memory_timer_(loop_),
      context_{.callers = {.loop = loop_,
                           .limits = options.limits,
                           .handle_request = [this](caller_session& session,
                                                    caller_message const& message)
                           { return answer_service_request(context_, session, message); },
                           .resources = resources_,
                           .request_seed = options.request_seed},
               .host = options.host,
               .grants = grant_client(loop_, control, service),
               .connections = connection_pool(
                   loop_.get_executor(), pool_options(options.connections, resources_)),
               .view = {}},
      listener_(context_.callers)
{
}

traffic_worker::~traffic_worker()
{
    join();
}

void traffic_worker::start()
{
    listener_.start();
    return_memory();
    thread_ = std::thread([this] { loop_.run(); });
}

void traffic_worker::return_memory()
{
    resources_->return_freed_memory();
    memory_timer_.expires_after(memory_interval);
    memory_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                return_memory();
        });
}

void traffic_worker::set_view(routing_view view)
{
    asio::post(loop_,
               [this, view = std::move(view)]() mutable
               {
                   context_.callers.stopping = view.stopping;
                   context_.view = std::move(view);
               });
}

void traffic_worker::stop_callers(std::function<void()> drained)
{
    auto notify = [this, drained = std::move(drained)]
    { asio::post(*control_, drained); };
    asio::post(loop_, [this, notify = std::move(notify)] { listener_.stop(notify); });
}

void traffic_worker::join()
{
    work_.reset();
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace marjorampath::serving
