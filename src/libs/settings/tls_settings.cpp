#include "tls_settings.h"

#include "settings_reader.h"

namespace marigold::settings {

void tls_settings::registerSettings(settings_reader& reader)
{
    constexpr double maximumPathBytes = 4096;
    reader.add("tls.enabled", &enabled, { .description = "Enables TLS for the HTTP interfaces." });
    reader.add("tls.certificate_file", &certificateFile,
        { .description = "PEM file with the certificate of this process and its chain.",
            .maximum = maximumPathBytes });
    reader.add("tls.private_key_file", &privateKeyFile,
        { .description = "PEM file with the private key.", .maximum = maximumPathBytes });
    reader.add("tls.authority_file", &authorityFile,
        { .description = "PEM file with the certificate authorities that sign the certificates of peers.",
            .maximum = maximumPathBytes });
    reader.add("tls.require_client_certificate", &requireClientCertificate,
        { .description = "Requires clients to present a certificate signed by one of the authorities in the "
                         "authority file." });
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
