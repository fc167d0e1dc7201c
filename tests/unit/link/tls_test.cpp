#include <serving/clock/boot_time.hpp>
#include <serving/link/kj_loop.hpp>
#include <serving/link/node_listener.hpp>
#include <serving/link/peer_link.hpp>
#include <serving/link/tls_context.hpp>

#include <boost/test/unit_test.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

using namespace marjorampath;
using namespace marjorampath::serving;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;

host_id const server_host(2);

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;

/// A certificate authority that issues host certificates as PEM files.
class authority
{
public:
    explicit authority(std::filesystem::path folder)
        : folder_(std::move(folder)), key_(EVP_EC_gen("P-256"), &EVP_PKEY_free),
          certificate_(sign("authority", key_.get(), nullptr))
    {
        write("authority", key_.get(), certificate_.get());
    }

    tls_files issue(std::string const& name)
    {
        key_ptr const key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
        auto const certificate = sign(name, key.get(), certificate_.get());
        write(name, key.get(), certificate.get());
        return {.certificate = folder_ / (name + ".crt"),
                .key = folder_ / (name + ".key"),
                .authority = folder_ / "authority.crt"};
    }

private:
    // Makes a certificate, signed by the authority or by itself
    certificate_ptr sign(std::string const& name, EVP_PKEY* key, X509* issuer)
    {
        certificate_ptr made(X509_new(), &X509_free);
        X509_set_version(made.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial_);
        X509_gmtime_adj(X509_getm_notBefore(made.get()), -60);
        X509_gmtime_adj(X509_getm_notAfter(made.get()), 3600);
        X509_set_pubkey(made.get(), key);
        auto* const subject = X509_get_subject_name(made.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<unsigned char const*>(name.c_str()),
                                   -1, -1, 0);
        X509_set_issuer_name(made.get(),
                             issuer != nullptr ? X509_get_subject_name(issuer) : subject);
        if (issuer == nullptr)
            mark_as_authority(made.get());
        X509_sign(made.get(), key_.get(), EVP_sha256());
        return made;
    }

    static void mark_as_authority(X509* certificate)
    {
        auto* const extension = X509V3_EXT_conf_nid(
            nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }

    void write(std::string const& name, EVP_PKEY* key, X509* certificate)
    {
        std::FILE* file = std::fopen((folder_ / (name + ".key")).c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        file = std::fopen((folder_ / (name + ".crt")).c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
    }

    std::filesystem::path folder_;
    long serial_ = 0;
    key_ptr key_;
    certificate_ptr certificate_;
};

/// Creates a temporary folder and removes it at the end.
struct temporary_folder
{
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "marjorampath-tls-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(name.data()) != nullptr);
        path = name;
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }

    std::filesystem::path path;
};

std::shared_ptr<asio::ssl::context> make_context(tls_files const& files)
{
    std::error_code error;
    auto made = make_mutual_tls(files, error);
    BOOST_REQUIRE_MESSAGE(!error, error.message());
    return made;
}

/// Sends one probe over TLS, or without TLS where a context is null; returns its error.
std::error_code send_probe(std::shared_ptr<asio::ssl::context> server_tls,
                           std::shared_ptr<asio::ssl::context> client_tls)
{
    asio::io_context context;
    kj_loop loop(context);
    node_service service;
    service.hello = [](node_hello const&, reply_function<node_hello> const& reply)
    { reply({.host = server_host}); };
    service.on_probe = [](probe const&, reply_function<probe_reply> const& reply)
    { reply({}); };
    node_listener listener(
        context,
        {.address = {asio::ip::address_v4::loopback(), 0}, .tls = std::move(server_tls)},
        service);
    BOOST_REQUIRE(!listener.open());
    auto link = std::make_shared<peer_link>(
        context, peer_link::options{.address = listener.address(),
                                    .peer = server_host,
                                    .tls = std::move(client_tls),
                                    .connect_timeout = 5s});
    std::optional<std::error_code> result;
    link->call(probe{}, 10s,
               [&](std::error_code error, probe_reply const&) { result = error; });
    auto const end = boot_now() + 15s;
    while (!result && boot_now() < end)
        context.run_one_for(10ms);
    link.reset();
    listener.close();
    loop.drain();
    BOOST_REQUIRE(result.has_value());
    return *result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_tls, temporary_folder)

BOOST_AUTO_TEST_CASE(hosts_with_certificates_of_one_authority_connect)
{
    authority signer(path);
    BOOST_TEST(!send_probe(make_context(signer.issue("one")),
                           make_context(signer.issue("two"))));
}

BOOST_AUTO_TEST_CASE(a_host_with_a_certificate_of_another_authority_is_refused)
{
    std::filesystem::create_directory(path / "other");
    authority signer(path);
    authority other_authority(path / "other");
    auto const good = make_context(signer.issue("one"));
    auto const bad = make_context(other_authority.issue("two"));
    BOOST_TEST((send_probe(good, bad) == link_error::unreachable));
    BOOST_TEST((send_probe(bad, good) == link_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_host_without_tls_is_refused)
{
    authority signer(path);
    BOOST_TEST((send_probe(make_context(signer.issue("one")), nullptr) ==
                link_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_error)
{
    std::error_code error;
    BOOST_TEST(!make_mutual_tls(
        {.certificate = path / "none", .key = {}, .authority = {}}, error));
    BOOST_TEST(!!error);
}

BOOST_AUTO_TEST_SUITE_END()
