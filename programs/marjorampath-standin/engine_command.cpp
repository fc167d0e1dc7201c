#include <programs/marjorampath-standin/engine.hpp>
#include <programs/marjorampath-standin/subcommand.hpp>

#include <tclap/CmdLine.h>

namespace marjorampath::standin
{

namespace asio = boost::asio;

namespace
{

// The command line of the engine
struct engine_arguments
{
    using text_argument = TCLAP::ValueArg<std::string>;
    using number_argument = TCLAP::ValueArg<int>;

    // The parser
    TCLAP::CmdLine command{"Stand-in for a model engine", ' ', "0.1.0"};
    // The arguments
    text_argument listen{
        "", "listen", "Address to listen at", false, "127.0.0.1:0", "IP:PORT", command};
    text_argument store{"",        "store", "Address of the weight store", false, "",
                        "IP:PORT", command};
    number_argument slots{"", "slots", "Adapter slots", false, 4, "number", command};
    number_argument concurrency{
        "", "concurrency", "Requests that run at once", false, 8, "number", command};
    number_argument token_ms{
        "", "token-ms", "Time of one token", false, 0, "milliseconds", command};
    number_argument prefill_ms{
        "", "prefill-ms", "Time of a prompt", false, 0, "milliseconds", command};
    number_argument load_ms{"",     "load-ms", "Time of a load without a store",
                            false,  0,         "milliseconds",
                            command};
    number_argument report_lag_ms{
        "", "report-lag-ms", "Lag of GET /load", false, 0, "milliseconds", command};
    number_argument dead_ms{"",     "dead-ms", "Time from a crash to the next start",
                            false,  1000,      "milliseconds",
                            command};
    number_argument cache_lag_ms{
        "",     "cache-lag-ms", "Lag of the cache events", false, 500, "milliseconds",
        command};
    number_argument cache_lose_every{"",
                                     "cache-lose-every",
                                     "One of so many cache events is lost",
                                     false,
                                     0,
                                     "number",
                                     command};
    text_argument crash_on{
        "",     "crash-on", "Text in a request that crashes the engine", false, "",
        "text", command};
    TCLAP::SwitchArg ignore_fence{"", "ignore-fence", "Ignore fencing numbers", command};
};

engine::options options_of(engine_arguments& arguments)
{
    using std::chrono::milliseconds;
    auto const lose_every =
        static_cast<std::uint64_t>(arguments.cache_lose_every.getValue());
    engine::options values{
        .slots = static_cast<std::size_t>(arguments.slots.getValue()),
        .batch = {.concurrency =
                      static_cast<std::uint32_t>(arguments.concurrency.getValue()),
                  .token = milliseconds(arguments.token_ms.getValue()),
                  .prefill = milliseconds(arguments.prefill_ms.getValue())},
        .store = {},
        .load_time = milliseconds(arguments.load_ms.getValue()),
        .report_lag = milliseconds(arguments.report_lag_ms.getValue()),
        .dead_time = milliseconds(arguments.dead_ms.getValue()),
        .checks_fence = !arguments.ignore_fence.getValue(),
        .crash_on = arguments.crash_on.getValue(),
        .cache = {.lag = milliseconds(arguments.cache_lag_ms.getValue()),
                  .lose_every = lose_every}};
    if (arguments.store.isSet())
        values.store = parse_listen_address(arguments.store.getValue());
    return values;
}

} // namespace

int run_engine(std::vector<std::string>& arguments)
{
    engine_arguments parsed;
    parsed.command.parse(arguments);

    asio::io_context context(1);
    engine endpoint(context, options_of(parsed));
    http_server server(context, parse_listen_address(parsed.listen.getValue()),
                       [&endpoint](http_exchange& exchange)
                       { return endpoint.handle(exchange); });
    endpoint.attach(server);
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
