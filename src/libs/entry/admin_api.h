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
    /// Handles a request of an operator who has the required right.
    using operator_handler
        = void (admin_api::*)(const node::exchange_ptr&, const operate::operator_identity&);

    void add(node::http_router& router, std::string method, std::string path, operate::operator_right right,
        operator_handler handler);

    void getConfig(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void patchConfig(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void resolveChange(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void history(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void diff(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void rollback(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void inForce(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void setDomain(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void listTargets(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void setTarget(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void addTeam(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void changeTeam(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void status(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void explain(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void metrics(const node::exchange_ptr& exchange, const operate::operator_identity& identity);
    void dump(const node::exchange_ptr& exchange, const operate::operator_identity& identity);

    /// Proposes \a change and replies with its outcome; \a extra is merged into the reply if the change is
    /// accepted.
    void propose(const node::exchange_ptr& exchange, const operate::operator_identity& identity,
        control::config_change change, std::string extra = "{}");
    void replyOutcome(const node::exchange_ptr& exchange, const control::proposal_outcome& outcome,
        const std::string& extra);

    entry_services& m_services;
};

} // namespace marigold::entry
