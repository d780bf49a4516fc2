#pragma once

#include "entry_services.h"

#include <functional>
#include <string>

namespace marigold::entry {

/// The operators' HTTP interface: configuration, failure domains, targets, teams, status, explain and dump.
class admin_api {
public:
    explicit admin_api(entry_services& services)
        : m_services(services)
    {
    }

    void addRoutes(node::http_router& router);

private:
    /// Handler of an operator who has the needed right.
    using operator_handler
        = void (admin_api::*)(const node::exchange_ptr&, const operate::operator_identity&);

    void add(node::http_router& router, std::string method, std::string path, operate::operator_right right,
        operator_handler handler);

    void getConfig(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void patchConfig(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void resolveChange(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void history(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void diff(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void rollback(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void inForce(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void setDomain(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void listTargets(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void setTarget(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void addTeam(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void changeTeam(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void status(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void explain(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void metrics(const node::exchange_ptr& exchange, const operate::operator_identity& who);
    void dump(const node::exchange_ptr& exchange, const operate::operator_identity& who);

    /// Proposes \a change and answers with its outcome; \a extra is merged into an accepted answer.
    void propose(const node::exchange_ptr& exchange, const operate::operator_identity& who,
        control::config_change change, std::string extra = "{}");
    void replyOutcome(const node::exchange_ptr& exchange, const control::proposal_outcome& outcome,
        const std::string& extra);

    entry_services& m_services;
};

} // namespace marigold::entry
