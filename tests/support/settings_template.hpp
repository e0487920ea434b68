#pragma once

#include <json/value.h>

#include <string>
#include <string_view>

/// @file
/// Renders deploy/instance.ini as the users' platform does, so that tests start instances with the settings
/// that installations get.

namespace teaseltally::test {

/// Renders the placeholders `{{a}}`, `{{a.b}}` and `{{a.0}}` of a template. Lists are joined by commas,
/// tables are rendered as JSON, and a field that does not exist renders as nothing.
/// @throws std::runtime_error if a placeholder does not end, or is of a form other than these.
[[nodiscard]] std::string render_template(std::string_view text, const Json::Value& fields);

/// Renders deploy/instance.ini.
/// @param fields what the platform knows of a process.
[[nodiscard]] std::string render_settings(const Json::Value& fields);

/// Returns the fields of a process of a small installation. Addresses are placeholders.
[[nodiscard]] Json::Value example_fields();

} // namespace teaseltally::test
