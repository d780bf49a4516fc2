#include "http_vm_list.h"

#include <nlohmann/json.hpp>

namespace marigold::platform {

void http_vm_list::read(std::function<void(base::result<std::vector<listed_vm>>)> done)
{
    m_client.send({ .to = m_service, .target = "/vms", .timeout = std::chrono::seconds(2) },
        [done = std::move(done)](const base::result<net::http_response>& answer) {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            base::result<std::vector<listed_vm>> outcome
                = base::notRun(base::error_reason::Unavailable, "the VM list is malformed");
            try {
                std::vector<listed_vm> list;
                for (const auto& item : nlohmann::json::parse(answer->body).at("vms"))
                    list.push_back({ .address = item.at("address").get<std::string>(),
                        .failureDomain = item.value("failure_domain", ""),
                        .leaving = item.value("leaving", false) });
                outcome = std::move(list);
            } catch (const nlohmann::json::exception&) {
                // The outcome remains the error set above.
            }
            done(std::move(outcome));
        });
}

} // namespace marigold::platform
