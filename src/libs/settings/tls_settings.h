#pragma once

#include <string>

namespace marigold::settings {

class settings_reader;

/// Transport encryption of the callers' and operators' interfaces; section `tls`.
struct tls_settings {
    bool enabled = false;
    std::string certificateFile = {}; ///< PEM, the certificate and its chain.
    std::string privateKeyFile = {}; ///< PEM.
    std::string authorityFile = {}; ///< PEM, authorities that peers' certificates are checked against.
    bool requireClientCertificate = false;

    void registerSettings(settings_reader& reader);
};

} // namespace marigold::settings
