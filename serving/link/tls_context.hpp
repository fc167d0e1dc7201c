#pragma once

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <system_error>

namespace marjorampath::serving
{

/// Files of one host's identity towards the other hosts, in PEM.
struct tls_files
{
    /// Certificate of the host, and those between it and the authority.
    std::string certificate;
    /// Private key of the host.
    std::string key;
    /// Certificate of the authority that signs the hosts' certificates.
    std::string authority;
};

/// Makes a context for mutual TLS: both sides show a certificate that the authority
/// signed. Null with the error where a file is missing or wrong.
std::shared_ptr<boost::asio::ssl::context> make_mutual_tls(tls_files const& files,
                                                           std::error_code& error);

} // namespace marjorampath::serving
