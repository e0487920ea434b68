#pragma once

/// @file
/// Umbrella header of the library. It leaves out the headers under `net/` and `instance.hpp`, which need
/// Boost.Asio and Boost.Beast and have to be included by name.

#include <teaseltally/types.hpp>

#include <teaseltally/result.hpp>

#include <teaseltally/json.hpp>
#include <teaseltally/json_cursor.hpp>

#include <teaseltally/configuration.hpp>

#include <teaseltally/records.hpp>

#include <teaseltally/cluster_state.hpp>

#include <teaseltally/snapshot.hpp>

#include <teaseltally/peer_messages.hpp>

#include <teaseltally/lease.hpp>

#include <teaseltally/dispatch_ledger.hpp>

#include <teaseltally/placement.hpp>

#include <teaseltally/coordinator.hpp>

#include <teaseltally/admission.hpp>

#include <teaseltally/idempotency.hpp>

#include <teaseltally/request_policy.hpp>

#include <teaseltally/metrics.hpp>
#include <teaseltally/service_window.hpp>

#include <teaseltally/log_line.hpp>

#include <teaseltally/routing/route_table.hpp>

#include <teaseltally/knowledge/log_position.hpp>
#include <teaseltally/knowledge/record_stream.hpp>
#include <teaseltally/knowledge/registration_expiry_tracker.hpp>
#include <teaseltally/knowledge/target_directory.hpp>

#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/balancer.hpp>
#include <teaseltally/ownership/order_status.hpp>
#include <teaseltally/ownership/range_manager.hpp>
#include <teaseltally/ownership/range_refusals.hpp>
#include <teaseltally/ownership/target_speed.hpp>

#include <teaseltally/knowledge/traffic_report.hpp>

#include <teaseltally/admission/crash_quarantine.hpp>
#include <teaseltally/admission/owner_queue.hpp>
#include <teaseltally/admission/retry_token_bucket.hpp>
#include <teaseltally/admission/target_load.hpp>
#include <teaseltally/admission/target_rate_limits.hpp>
#include <teaseltally/admission/target_statements.hpp>
