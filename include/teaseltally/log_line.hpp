#pragma once

#include <teaseltally/types.hpp>

#include <concepts>
#include <string>
#include <string_view>

/// @file
/// Structured log lines made of `key=value` pairs.

namespace teaseltally {

/// Builds a log line of `key=value` pairs separated by spaces.
///
/// @code
/// log_line("move").add("slot", 7).add("reason", "draining").text();
/// @endcode
class log_line {
public:
    /// Starts a line with the pair `event=EVENT`. The name of the event is not quoted.
    explicit log_line(std::string_view event) : text_("event=") { text_ += event; }

    /// Appends a pair with a text value. A value that is empty or contains a space, quote, equals sign, tab
    /// or line break is enclosed in quotes. Within the quotes, quotes and backslashes are escaped and control
    /// characters become spaces.
    log_line& add(std::string_view key, std::string_view value);

    /// Appends a pair with an integer or identifier.
    template <typename Value>
    requires std::integral<Value> || std::is_enum_v<Value> log_line& add(std::string_view key, Value value)
    {
        if constexpr (std::is_enum_v<Value>)
            return add(key, std::string_view{std::to_string(number(value))});
        else
            return add(key, std::string_view{std::to_string(value)});
    }

    /// Returns the line without a line break.
    [[nodiscard]] const std::string& text() const noexcept { return text_; }

private:
    std::string text_;
};

} // namespace teaseltally
