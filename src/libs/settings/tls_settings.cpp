#include "tls_settings.h"

#include "settings_reader.h"

namespace marigold::settings {

void tls_settings::registerSettings(settings_reader& reader)
{
    constexpr double longestPath = 4096;
    reader.add("tls.enabled", &enabled, { .description = "Whether the HTTP interfaces use TLS." });
    reader.add("tls.certificate_file", &certificateFile,
        { .description = "PEM file with the certificate and its chain.", .maximum = longestPath });
    reader.add("tls.private_key_file", &privateKeyFile,
        { .description = "PEM file with the private key.", .maximum = longestPath });
    reader.add("tls.authority_file", &authorityFile,
        { .description = "PEM file with the authorities that sign peers' certificates.",
            .maximum = longestPath });
    reader.add("tls.require_client_certificate", &requireClientCertificate,
        { .description = "Whether a client must present a certificate of a known authority." });
    reader.addCheck([this]() -> std::string {
        if (enabled && certificateFile.empty())
            return "tls.certificate_file: required when tls.enabled is true";
        if (enabled && privateKeyFile.empty())
            return "tls.private_key_file: required when tls.enabled is true";
        if (requireClientCertificate && authorityFile.empty())
            return "tls.authority_file: required when tls.require_client_certificate is true";
        return {};
    });
}

} // namespace marigold::settings
