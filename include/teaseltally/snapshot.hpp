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

/// Wraps one chunk of a snapshot as a record.
/// @param state the state that is written.
/// @param index of the chunk.
/// @param writer who writes.
[[nodiscard]] std::string encode_snapshot_chunk(const cluster_state& state, std::size_t index,
                                                session_id writer);

/// Collects records of the snapshot stream and finds the furthest whole snapshot.
class snapshot_collector {
public:
    /// Adds a record; one that is malformed is passed over.
    void add(std::string_view record);

    /// @returns the state of the furthest whole snapshot, if there is one.
    [[nodiscard]] std::optional<cluster_state> newest() const;

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::string>> snapshots_;
};

} // namespace teaseltally
