#include <serving/node/signal_mask.hpp>

#include <csignal>
#include <pthread.h>

namespace marjorampath::serving
{

namespace
{

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (auto const number : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, number);
    return signals;
}

} // namespace

void block_signals()
{
    auto const signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void unblock_signals()
{
    auto const signals = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace marjorampath::serving
