#pragma once

#include "admin_client.h"
#include "ctl_options.h"
#include "failure.h"

#include <string>
#include <vector>

namespace marigold::ctl {

/// Executes the reads and changes of one command at the entries, and converts errors to failures.
class session {
public:
    session(const ctl_options& options, admin_client& client)
        : m_options(options)
        , m_client(client)
    {
    }

    /// Returns the argument \a index after the words of the command.
    const std::string& argument(std::size_t index) const { return m_arguments.at(index); }
    void setArguments(std::vector<std::string> arguments) { m_arguments = std::move(arguments); }
    const ctl_options& options() const { return m_options; }

    /// Reads a JSON document.
    outcome read(const std::string& path);

    /// Sends a change with a change id and the base version: that of `--base`, otherwise the current one. If
    /// the response is lost, the outcome is queried by the change id. With `--wait`, waits until the change
    /// is in force.
    outcome change(const std::string& path, nlohmann::json body);

private:
    tl::expected<std::uint64_t, failure> baseVersion();
    outcome resolve(const std::string& changeId, std::uint64_t base, const std::string& cause);
    outcome waitInForce(nlohmann::json accepted);
    outcome interpret(const call_result& answer) const;

    const ctl_options& m_options;
    admin_client& m_client;
    std::vector<std::string> m_arguments;
};

} // namespace marigold::ctl
