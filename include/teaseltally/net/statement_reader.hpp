#pragma once

#include <teaseltally/admission/target_statements.hpp>
#include <teaseltally/net/header_names.hpp>
#include <teaseltally/net/http.hpp>

/// @file
/// Decoding of what a target says about itself in the headers of a response.

namespace teaseltally {

/// Decodes the statements in the headers of a response.
/// @param response response of a target to a request or an order.
/// @param headers names of the headers.
/// @returns the statements; malformed headers are listed in it and otherwise ignored.
[[nodiscard]] target_statement read_statement(const http_response& response, const header_names& headers);

} // namespace teaseltally
