#include <serving/node/service_request.hpp>
#include <serving/node/traffic_worker.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

} // namespace

traffic_worker::traffic_worker(traffic_worker_options const& options,
                               asio::io_context& control, grant_service const& service)
    : work_(loop_.get_executor()), control_(&control),
      context_{.callers = {.loop = loop_,
                           .limits = options.limits,
                           .handle_request = [this](caller_session& session,
                                                    caller_message const& message)
                           { return answer_service_request(context_, session, message); },
                           .request_seed = options.request_seed},
               .host = options.host,
               .grants = grant_client(loop_, control, service),
               .connections = connection_pool(loop_.get_executor(), options.connections),
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
    thread_ = std::thread([this] { loop_.run(); });
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
