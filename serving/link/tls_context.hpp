#pragma once

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <system_error>

namespace marjorampath::serving
{

/// Paths of the PEM files that identify a host to the other hosts.
struct tls_files
{
    /// Certificate chain: the host's certificate and any intermediate ones.
    std::string certificate;
    /// Private key of the host.
    std::string key;
    /// Certificate of the authority (CA) that signs the hosts' certificates.
    std::string authority;
};

/// Makes a context for mutual TLS: both sides present a certificate that the authority
/// signed. Returns null and sets `error` if a file is missing or invalid.
std::shared_ptr<boost::asio::ssl::context> make_mutual_tls(tls_files const& files,
                                                           std::error_code& error);

} // namespace marjorampath::serving
