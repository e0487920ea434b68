#pragma once

#include <teaseltally/knowledge/record_stream.hpp>
#include <teaseltally/result.hpp>

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Updates of streams on the wire between instances.

namespace teaseltally {

/// How the large values of an update are sent (see `record_stream::min_large_value`).
struct large_value_form {
    /// Digest of the value that the receiver has, 0 if it has none; nothing if it is of an earlier version,
    /// which takes whole values only.
    std::optional<std::uint64_t> known;
    /// Whether an update with a very large whole value is left out, so that the receiver requests its stream
    /// alone.
    bool leaves_out = false;
};

/// Update that the sender left out because of its size; the stream has to be requested alone.
struct update_left_out {};

/// Update of a stream, or why there is none. The error names what is malformed.
using decoded_update = std::variant<stream_delta, update_left_out, error>;

/// Encodes an update.
/// @param stream stream that the update is of.
[[nodiscard]] Json::Value encode_update(const record_stream& stream, const stream_delta& delta,
                                        const large_value_form& form);

/// Decodes an update.
/// @param local the receiver's copy of the stream, which differences apply to.
/// @param only_era era of an update that names none, from an instance that knows of no eras; nothing if such
/// an update cannot be used.
[[nodiscard]] decoded_update decode_update(const Json::Value& object, const record_stream& local,
                                           std::optional<std::uint64_t> only_era);

/// Parses numbers separated by commas, one for each stream.
/// @returns the numbers, or nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<std::uint64_t>> parse_numbers(std::string_view text);

/// Returns the position of a request for updates.
/// @returns the position, or nothing if the value is no offset.
[[nodiscard]] std::optional<log_position> position_from(const Json::Value& value, std::uint64_t era);

} // namespace teaseltally
