#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marjorampath::test
{

/// A program of this project, started from the folder of the test's own executable. The
/// destructor kills the process.
class child_process
{
public:
    /// Starts a program and waits for its first line of output, which ends in its
    /// address; its standard error goes to `log`. Throws std::runtime_error if no address
    /// arrives.
    child_process(std::string const& program, std::vector<std::string> arguments,
                  std::string const& log);

    /// Starts a program whose address is known, without waiting until it listens; its
    /// standard output and error go to `log`. Throws std::runtime_error if it cannot
    /// start.
    child_process(std::string const& program, std::vector<std::string> arguments,
                  std::string const& log, boost::asio::ip::tcp::endpoint const& address);

    /// Kills the process.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Address that the program listens on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const noexcept
    {
        return address_;
    }

    /// The address as `IP:PORT`.
    [[nodiscard]] std::string address_text() const;

    /// First line of its output, which ends in its address; empty if the address was
    /// given.
    [[nodiscard]] std::string const& first_line() const noexcept
    {
        return first_line_;
    }

    /// Whether no call of `wait` has seen its end.
    [[nodiscard]] bool running() const noexcept
    {
        return pid_ != 0;
    }

    /// Sends a signal; does nothing once the process has ended.
    void signal(int number);

    /// Whether the process handles or blocks a signal, so that the signal's default
    /// action does not apply.
    [[nodiscard]] bool handles_or_blocks(int number) const;

    /// Highest resident memory of the process so far, in kilobytes.
    [[nodiscard]] std::size_t peak_memory_kb() const;

    /// Number of descriptors that the process has open.
    [[nodiscard]] std::size_t open_descriptors() const;

    /// Exit status that the process must end with: 0, or -1 after a SIGKILL from here.
    [[nodiscard]] int expected_status() const noexcept
    {
        return killed_ ? -1 : 0;
    }

    /// Waits for the end. Returns the exit status, -1 if a signal ended the process, or
    /// nothing if it did not end in time.
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// Resident memory, in bytes.
    [[nodiscard]] std::size_t resident_bytes() const;

private:
    // Starts the program; `output` is the descriptor that its standard output goes to, or
    // -1 for the log
    void start(std::string const& program, std::vector<std::string> arguments,
               std::string const& log, int output);

    // Reads the first line of standard output
    std::string read_line(int pipe) const;

    // Zero if the process could not be started or has ended
    pid_t pid_ = 0;
    // Whether `signal` sent SIGKILL
    bool killed_ = false;
    // First line of standard output
    std::string first_line_;
    // Address that the program listens on
    boost::asio::ip::tcp::endpoint address_;
};

/// Polls a condition until it holds; returns whether it did before the timeout.
template <typename Condition>
bool eventually(Condition condition,
                std::chrono::milliseconds timeout = std::chrono::milliseconds(10'000));

/// Sleeps for 10 ms, the interval at which conditions are polled.
void sleep_poll_interval();

template <typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds timeout)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (condition())
            return true;
        sleep_poll_interval();
    }
    return condition();
}

} // namespace marjorampath::test
