#include <programs/marjorampath-bench/policy_report.hpp>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace marjorampath::bench
{

namespace
{

std::ofstream open(std::string const& folder, char const* name)
{
    std::ofstream file(folder + '/' + name);
    if (!file)
        throw std::runtime_error("cannot write the file " + folder + '/' + name);
    return file;
}

// Draws one column of bars, one bar for each row, with lengths in proportion to the
// values
template <class Value>
void draw_bars(std::ofstream& file, std::vector<policy_result> const& rows, int left,
               char const* title, Value const& value)
{
    constexpr int width = 360;
    constexpr int row_height = 16;
    constexpr int top = 48;
    double largest = 1e-9;
    for (auto const& row : rows)
        largest = std::max(largest, value(row));
    fmt::print(file, "<text x='{}' y='30' font-weight='bold'>{}</text>\n", left, title);
    for (std::size_t index = 0; index < rows.size(); ++index)
    {
        auto const length = value(rows[index]) / largest * width;
        auto const y = top + static_cast<int>(index) * row_height;
        auto const* const colour = rows[index].policy == "cell" ? "#2b6cb0" : "#a0aec0";
        fmt::print(file,
                   "<rect x='{}' y='{}' width='{:.1f}' height='12' fill='{}'/>"
                   "<text x='{:.1f}' y='{}'>{:.3g}</text>\n",
                   left, y, length, colour, left + length + 4, y + 10,
                   value(rows[index]));
    }
}

} // namespace

void print_table(std::vector<policy_result> const& rows)
{
    fmt::print("{:18} {:13} {:>7} {:>7} {:>7} {:>7} {:>9} {:>7} {:>6} {:>6} {:>7} {:>7} "
               "{:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8}\n",
               "scenario", "policy", "requests", "p50 s", "p95 s", "p99 s", "total s",
               "stalled", "batch", "util", "goodput", "tok/s", "cut", "loads", "evict",
               "fair", "us", "us p99", "recovery");
    std::string last;
    for (auto const& row : rows)
    {
        if (!last.empty() && last != row.scenario)
            fmt::print("\n");
        last = row.scenario;
        fmt::print("{:18} {:13} {:8} {:7.3f} {:7.3f} {:7.3f} {:9.1f} {:7.4f} {:6.3f} "
                   "{:6.3f} {:7.4f} {:7.0f} {:6.4f} {:6} {:6} {:6.3f} {:7.2f} {:7.2f} "
                   "{:4.0f}/{:.0f}\n",
                   row.scenario, row.policy, row.requests, row.stall_p50, row.stall_p95,
                   row.stall_p99, row.stall_total, row.stalled, row.batch_efficiency,
                   row.utilisation, row.goodput, row.token_rate, row.cut, row.loads,
                   row.evictions, row.fairness, row.decision_mean_us, row.decision_p99_us,
                   row.recovery, row.recovery_aim);
    }
}

void write_csv(std::vector<policy_result> const& rows, std::string const& folder)
{
    auto file = open(folder, "policy.csv");
    fmt::print(file, "scenario,policy,requests,stall_p50_s,stall_p95_s,stall_p99_s,"
                     "stall_total_s,stalled,batch_efficiency,utilisation,goodput,"
                     "tokens_per_s,cut,loads,evictions,fairness,decision_us,"
                     "decision_p99_us,recovery_s,recovery_aim_s\n");
    for (auto const& row : rows)
        fmt::print(file,
                   "{},{},{},{:.4f},{:.4f},{:.4f},{:.2f},{:.5f},{:.4f},{:.4f},{:.5f},"
                   "{:.1f},{:.5f},{},{},{:.4f},{:.3f},{:.3f},{:.1f},{:.1f}\n",
                   row.scenario, row.policy, row.requests, row.stall_p50, row.stall_p95,
                   row.stall_p99, row.stall_total, row.stalled, row.batch_efficiency,
                   row.utilisation, row.goodput, row.token_rate, row.cut, row.loads,
                   row.evictions, row.fairness, row.decision_mean_us, row.decision_p99_us,
                   row.recovery, row.recovery_aim);
}

void write_svg(std::vector<policy_result> const& rows, std::string const& folder)
{
    auto file = open(folder, "policy.svg");
    auto const height = 60 + 16 * rows.size();
    fmt::print(file,
               "<svg xmlns='http://www.w3.org/2000/svg' width='1500' height='{}' "
               "font-family='sans-serif' font-size='11'>\n"
               "<rect width='100%' height='100%' fill='white'/>\n",
               height);
    for (std::size_t index = 0; index < rows.size(); ++index)
        fmt::print(file, "<text x='8' y='{}'>{} {}</text>\n", 58 + 16 * index,
                   rows[index].scenario, rows[index].policy);
    draw_bars(file, rows, 230, "load stall p99, s",
              [](policy_result const& row) { return row.stall_p99; });
    draw_bars(file, rows, 660, "load stall total, s",
              [](policy_result const& row) { return row.stall_total; });
    draw_bars(file, rows, 1090, "batch efficiency",
              [](policy_result const& row) { return row.batch_efficiency; });
    fmt::print(file, "</svg>\n");
}

} // namespace marjorampath::bench
