#pragma once

#include <string>

namespace marigold::settings {

class settings_reader;

/// Transport encryption of the interfaces for callers and operators; section `tls`.
struct tls_settings {
    bool enabled = false;
    std::string certificateFile = {}; ///< PEM file with the certificate of this process and its chain.
    std::string privateKeyFile = {}; ///< PEM.
    std::string authorityFile = {}; ///< PEM, the certificate authorities for verifying peers.
    bool requireClientCertificate = false;

    void registerSettings(settings_reader& reader);
};

} // namespace marigold::settings
