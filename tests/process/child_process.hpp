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

/// One of our programs, started from the folder of this test's own executable. Killed by
/// its process number when the object goes.
class child_process
{
public:
    /// Starts a program and waits for the line that ends in its address; its standard
    /// error goes to `log`. Throws std::runtime_error where none comes in time.
    child_process(std::string const& program, std::vector<std::string> arguments,
                  std::string const& log);

    /// Starts a program whose address is known, so that it may take some time to listen;
    /// its standard output and error go to `log`. Throws std::runtime_error.
    child_process(std::string const& program, std::vector<std::string> arguments,
                  std::string const& log, boost::asio::ip::tcp::endpoint const& address);

    /// Kills the process.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Where the program listens.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const noexcept
    {
        return address_;
    }

    /// The address as `IP:PORT`.
    [[nodiscard]] std::string address_text() const;

    /// The line that it printed, which ends in its address.
    [[nodiscard]] std::string const& first_line() const noexcept
    {
        return first_line_;
    }

    /// Whether it was not seen to end.
    [[nodiscard]] bool running() const noexcept
    {
        return pid_ != 0;
    }

    /// Sends a signal.
    void signal(int number);

    /// Whether it has come so far that a signal does not end it by default: it handles
    /// the signal or holds it back.
    [[nodiscard]] bool handles_or_blocks(int number) const;

    /// The status that it has to end with: 0, or -1 where it was killed.
    [[nodiscard]] int expected_status() const noexcept
    {
        return killed_ ? -1 : 0;
    }

    /// Waits for the end; the exit status, -1 after a signal, or nothing in time.
    std::optional<int> wait(std::chrono::milliseconds time);

    /// Resident memory, in bytes.
    [[nodiscard]] std::size_t resident_bytes() const;

private:
    // Starts the program; `output` is the descriptor that its standard output goes to, or
    // -1 for the log
    void start(std::string const& program, std::vector<std::string> arguments,
               std::string const& log, int output);

    // Reads the first line of standard output
    std::string read_line(int pipe) const;

    // Process number; zero once it has ended
    pid_t pid_ = 0;
    // Whether it was killed on purpose
    bool killed_ = false;
    // What it printed
    std::string first_line_;
    // Where it listens
    boost::asio::ip::tcp::endpoint address_;
};

/// Looks at a condition until it holds; whether it did in time.
template <typename Condition>
bool eventually(Condition condition,
                std::chrono::milliseconds time = std::chrono::milliseconds(10'000));

/// A short wait between two looks at a condition.
void sleep_poll_interval();

template <typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds time)
{
    auto const until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
            return true;
        sleep_poll_interval();
    }
    return condition();
}

} // namespace marjorampath::test
