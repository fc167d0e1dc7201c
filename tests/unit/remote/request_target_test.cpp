#include <serving/remote/request_target.hpp>

#include <boost/test/unit_test.hpp>
#include <boost/url/encoding_opts.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/url_view.hpp>

#include <random>
#include <string>
#include <vector>

using marjorampath::serving::request_target;

namespace
{

namespace urls = boost::urls;

constexpr int byte_values = 256;
constexpr int longest_value = 200;

std::string draw_bytes(std::mt19937& generator)
{
    std::uniform_int_distribution<int> length(0, longest_value);
    std::uniform_int_distribution<int> byte(0, byte_values - 1);
    std::string bytes(static_cast<std::size_t>(length(generator)), '\0');
    for (auto& each : bytes)
        each = static_cast<char>(byte(generator));
    return bytes;
}

// Decodes a value of a query as servers of HTML forms do
std::string decode(std::string const& text)
{
    urls::encoding_opts options;
    options.space_as_plus = true;
    return urls::pct_string_view(text).decode(options);
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_targets)

BOOST_AUTO_TEST_CASE(plain_names_are_sent_as_they_are)
{
    request_target target("/api/range");
    target.add_parameter("prefix", "servers/").add_parameter("after", 7);
    BOOST_TEST(target.text() == "/api/range?prefix=servers/&after=7");
    BOOST_TEST(request_target("/values/").add_key("sheet/a b").text() ==
               "/values/sheet/a%20b");
}

// Bytes of a name became parameters, fields or lines of the request that it was part of
BOOST_AUTO_TEST_CASE(a_decoder_gets_back_any_bytes)
{
    constexpr unsigned seed = 70;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 generator(seed);
    for (int round = 0; round < 2'000; ++round)
    {
        auto const first = draw_bytes(generator);
        auto const second = draw_bytes(generator);
        request_target target("/p");
        target.add_parameter("a", first).add_parameter("b", second);
        auto const parsed = urls::parse_origin_form(target.text());
        BOOST_REQUIRE(parsed.has_value());
        std::vector<std::string> values;
        for (auto const& each : parsed->encoded_params())
            values.push_back(decode(std::string(each.value)));
        BOOST_TEST((values == std::vector{first, second}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
