#include <serving/host_list/host_entry.hpp>
#include <tests/process/child_process.hpp>

#include <fmt/format.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace marjorampath::test
{

namespace
{

// Time limit for each read of a program's first line, which ends in its address
constexpr int start_timeout_ms = 10'000;

} // namespace

void sleep_poll_interval()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

child_process::child_process(std::string const& program,
                             std::vector<std::string> arguments, std::string const& log)
{
    // Standard output is read through a pipe, standard error goes to the log
    int pipe[2] = {-1, -1};
    if (::pipe2(pipe, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    start(program, std::move(arguments), log, pipe[1]);
    ::close(pipe[1]);

    first_line_ = pid_ != 0 ? read_line(pipe[0]) : std::string();
    ::close(pipe[0]);
    auto const address =
        serving::parse_address(first_line_.substr(first_line_.rfind(' ') + 1));
    if (!address)
    {
        signal(SIGKILL);
        wait(std::chrono::seconds(5));
        throw std::runtime_error(fmt::format(
            "{} printed `{}` instead of an address; log: {}", program, first_line_, log));
    }
    address_ = *address;
}

child_process::child_process(std::string const& program,
                             std::vector<std::string> arguments, std::string const& log,
                             boost::asio::ip::tcp::endpoint const& address)
    : address_(address)
{
    start(program, std::move(arguments), log, -1);
    if (pid_ == 0)
        throw std::runtime_error(fmt::format("{} cannot be started", program));
}

void child_process::start(std::string const& program, std::vector<std::string> arguments,
                          std::string const& log, int output)
{
    auto const folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    arguments.insert(arguments.begin(), (folder / program).string());
    std::vector<char*> pointers;
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, output < 0 ? STDERR_FILENO : output,
                                       STDOUT_FILENO);

    // Sockets of this process are inherited unless they are closed here, and would stay
    // open until the child ends
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (::posix_spawn(&pid_, pointers[0], &actions, nullptr, pointers.data(), environ) !=
        0)
        pid_ = 0;
    ::posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process()
{
    if (pid_ == 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

std::string child_process::address_text() const
{
    return serving::format_address(address_);
}

std::string child_process::read_line(int pipe) const
{
    std::string line;
    pollfd descriptor{.fd = pipe, .events = POLLIN, .revents = 0};
    while (::poll(&descriptor, 1, start_timeout_ms) == 1)
    {
        char letter = 0;
        if (::read(pipe, &letter, 1) != 1 || letter == '\n')
            break;
        line += letter;
    }
    return line;
}

void child_process::signal(int number)
{
    killed_ = killed_ || number == SIGKILL;
    if (pid_ != 0)
        ::kill(pid_, number);
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    int status = 0;
    bool const ended =
        pid_ != 0 &&
        eventually([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; }, timeout);
    if (!ended)
        return std::nullopt;
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::size_t child_process::open_descriptors() const
{
    auto const folder = fmt::format("/proc/{}/fd", pid_);
    auto const open = std::filesystem::directory_iterator(folder);
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::size_t child_process::peak_memory_kb() const
{
    std::ifstream file(fmt::format("/proc/{}/status", pid_));
    std::size_t peak = 0;
    for (std::string word; file >> word;)
        if (word == "VmHWM:")
            file >> peak;
    return peak;
}

bool child_process::handles_or_blocks(int number) const
{
    std::ifstream file(fmt::format("/proc/{}/status", pid_));
    std::uint64_t handled = 0;
    for (std::string word; file >> word;)
    {
        std::uint64_t mask = 0;
        if ((word == "SigBlk:" || word == "SigCgt:") && file >> std::hex >> mask)
            handled |= mask;
    }
    return (handled >> (number - 1) & 1U) != 0;
}

std::size_t child_process::resident_bytes() const
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid_));
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace marjorampath::test
