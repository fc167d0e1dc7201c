#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <sys/wait.h>

BOOST_AUTO_TEST_SUITE(soak)

BOOST_AUTO_TEST_CASE(a_short_run_with_faults_keeps_all_promises)
{
    auto const folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    auto const command =
        (folder / "marjorampath-soak").string() + " --seed 1 --seconds 6";
    auto const status = std::system(command.c_str());
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
