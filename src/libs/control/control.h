#pragma once

/// \file
/// Public header of the control library: configuration, membership, leases, orders to targets and rollouts.

#include "config_document.h"
#include "config_log.h"
#include "config_patch.h"
#include "config_replica.h"
#include "datagram_port.h"
#include "domain_exchange.h"
#include "events.h"
#include "in_force.h"
#include "lease.h"
#include "load_permit.h"
#include "member.h"
#include "member_table.h"
#include "membership.h"
#include "membership_message.h"
#include "order_sender.h"
#include "rollout.h"
#include "update_queue.h"
#include "validation.h"
