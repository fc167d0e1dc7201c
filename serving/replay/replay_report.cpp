#include <serving/replay/replay_report.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace marjorampath::serving
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_listed_promises = 200;
constexpr std::array quantile_fractions{0.5, 0.95, 0.99};

std::string escape_html(std::string_view text)
{
    std::string escaped;
    for (char const letter : text)
    {
        if (letter == '<')
            escaped += "&lt;";
        else if (letter == '>')
            escaped += "&gt;";
        else if (letter == '&')
            escaped += "&amp;";
        else
            escaped += letter;
    }
    return escaped;
}

// An SVG plot of the quantiles of ascending values
std::string distribution_plot(std::string_view title, std::span<double const> ascending)
{
    constexpr double width = 600.0;
    constexpr double height = 200.0;
    constexpr std::size_t points = 200;
    if (ascending.empty())
        return fmt::format("<p>{}: no values</p>\n", title);

    auto const largest = std::max(ascending.back(), 1e-9);
    std::string line;
    for (std::size_t point = 0; point <= points; ++point)
    {
        auto const fraction = static_cast<double>(point) / points;
        line += fmt::format("{:.1f},{:.1f} ", fraction * width,
                            height - quantile(ascending, fraction) / largest * height);
    }
    return fmt::format("<figure><figcaption>{} (ms) by share of requests; largest {:.1f}"
                       "</figcaption><svg viewBox='0 0 {} {}' width='{}' height='{}'>"
                       "<rect width='100%' height='100%' fill='#f4f4f4'/>"
                       "<polyline points='{}' fill='none' stroke='#225' "
                       "stroke-width='2'/></svg></figure>\n",
                       title, largest, width, height, width, height, line);
}

json::object quantiles_json(std::span<double const> ascending)
{
    json::object object;
    for (auto const fraction : quantile_fractions)
        object[fmt::format("p{:.0f}", fraction * 100)] = quantile(ascending, fraction);
    return object;
}

json::object summary_json(replay_summary const& summary)
{
    json::object answers;
    for (auto const& [name, count] : summary.answers)
        answers[name] = count;
    json::object promises;
    for (std::size_t index = 0; index < promise_count; ++index)
        promises[to_string(static_cast<promise>(index))] = summary.broken[index];
    return {{"requests", summary.requests},
            {"sendings", summary.sendings},
            {"whole", summary.whole},
            {"answers", answers},
            {"first_byte_ms", quantiles_json(summary.first_byte_ms)},
            {"total_ms", quantiles_json(summary.total_ms)},
            {"broken_promises", promises}};
}

std::string summary_html(replay_summary const& summary,
                         std::span<broken_promise const> broken)
{
    std::string page = "<!doctype html><meta charset='utf-8'><title>Replay</title>"
                       "<style>body{font-family:sans-serif;max-width:60em;margin:2em "
                       "auto}td,th{padding:.2em 1em;text-align:left}</style>"
                       "<h1>Replay</h1>\n";
    page += fmt::format("<p>{} requests, {} sendings, {} whole answers, {} broken "
                        "promises</p>\n",
                        summary.requests, summary.sendings, summary.whole, broken.size());

    page += "<h2>Promises</h2><table><tr><th>promise</th><th>broken</th></tr>\n";
    for (std::size_t index = 0; index < promise_count; ++index)
        page +=
            fmt::format("<tr><td>{}</td><td>{}</td></tr>\n",
                        to_string(static_cast<promise>(index)), summary.broken[index]);

    page += "</table><h2>Answers</h2><table><tr><th>answer</th><th>requests</th></tr>\n";
    for (auto const& [name, count] : summary.answers)
        page +=
            fmt::format("<tr><td>{}</td><td>{}</td></tr>\n", escape_html(name), count);

    page += "</table><h2>Times of whole answers</h2>\n";
    page += distribution_plot("Time to first byte", summary.first_byte_ms);
    page += distribution_plot("Total time", summary.total_ms);

    page += "<h2>Broken promises</h2><table>\n";
    for (auto const& each : broken.first(std::min(broken.size(), max_listed_promises)))
        page += fmt::format("<tr><td>line {}</td><td>{}</td><td>{}</td></tr>\n",
                            each.line, to_string(each.which), escape_html(each.text));
    return page + "</table>\n";
}

std::string answer_name(replay_attempt const& attempt)
{
    if (attempt.status == 0)
        return "no answer";
    if (attempt.error_kind.empty())
        return fmt::format("{}{}", attempt.status, attempt.complete ? "" : " cut");
    return fmt::format("{} {} {}", attempt.status, attempt.error_kind, attempt.outcome);
}

} // namespace

replay_summary summarise(std::span<trace_request const> trace,
                         std::span<replay_result const> results,
                         std::span<broken_promise const> broken)
{
    constexpr unsigned first_error_status = 400;
    replay_summary summary{.requests = trace.size()};
    for (auto const& result : results)
    {
        summary.sendings += result.attempts.size();
        if (result.attempts.empty())
            continue;
        auto const& last = result.attempts.back();
        ++summary.answers[answer_name(last)];
        if (!last.complete || last.status >= first_error_status)
            continue;
        ++summary.whole;
        summary.first_byte_ms.push_back(last.first_byte_ms);
        summary.total_ms.push_back(last.total_ms);
    }
    std::sort(summary.first_byte_ms.begin(), summary.first_byte_ms.end());
    std::sort(summary.total_ms.begin(), summary.total_ms.end());
    for (auto const& each : broken)
        ++summary.broken.at(static_cast<std::size_t>(each.which));
    return summary;
}

double quantile(std::span<double const> ascending, double fraction)
{
    if (ascending.empty())
        return 0.0;
    auto const last = static_cast<double>(ascending.size() - 1);
    return ascending[static_cast<std::size_t>(fraction * last)];
}

std::error_code write_replay_report(std::filesystem::path const& folder,
                                    replay_summary const& summary,
                                    std::span<broken_promise const> broken)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return error;

    std::ofstream summary_file(folder / "summary.json");
    summary_file << json::serialize(summary_json(summary)) << '\n';
    std::ofstream report_file(folder / "report.html");
    report_file << summary_html(summary, broken);
    if (!summary_file.flush() || !report_file.flush())
        return std::make_error_code(std::errc::io_error);
    return {};
}

} // namespace marjorampath::serving
