#pragma once

/// \file
/// Public header of the net library: event loop, HTTP based on libevhtp and evhttp, server-sent events and
/// datagrams.

#include "connection_probe.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "http_types.h"
#include "memory_account.h"
#include "rpc_endpoint.h"
#include "socket_state.h"
#include "udp_socket.h"
