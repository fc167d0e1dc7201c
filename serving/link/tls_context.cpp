#include <serving/link/tls_context.hpp>

namespace marjorampath::serving
{

std::shared_ptr<boost::asio::ssl::context> make_mutual_tls(tls_files const& files,
                                                           std::error_code& error)
{
    namespace ssl = boost::asio::ssl;
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    boost::system::error_code failed;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                             ssl::context::no_tlsv1_1 | ssl::context::no_sslv3,
                         failed);
    if (!failed)
        context->use_certificate_chain_file(files.certificate, failed);
    if (!failed)
        context->use_private_key_file(files.key, ssl::context::pem, failed);
    if (!failed)
        context->load_verify_file(files.authority, failed);
    if (!failed)
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert,
                                 failed);
    error = failed;
    return failed ? nullptr : context;
}

} // namespace marjorampath::serving
