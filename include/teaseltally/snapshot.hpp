#pragma once

#include <teaseltally/cluster_state.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// @file
/// Records of the snapshot stream.

namespace teaseltally {

/// Wraps the chunks of a snapshot as records.
/// @param chunks what `cluster_state::snapshot` wrote.
/// @param position position of the state.
/// @param writer who writes.
/// @returns one record for each chunk.
[[nodiscard]] std::vector<std::string> encode_snapshot(std::span<const std::string> chunks, epoch position,
                                                       session_id writer);

/// Collects records of the snapshot stream and finds the furthest whole snapshot.
class snapshot_collector {
public:
    /// Adds a record; one that is malformed is passed over.
    void add(std::string_view record);

    /// @returns the state of the furthest whole snapshot, if there is one.
    [[nodiscard]] std::optional<cluster_state> newest() const;

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::string>> sets_;
};

} // namespace teaseltally
