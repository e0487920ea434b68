#include <teaseltally/ownership/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace teaseltally {
namespace {

constexpr double us_per_s = 1e6;
/// Maximum number of pieces into which a range without an owner is cut. Each piece goes to the least utilised
/// target, so that the load of the range can be distributed over several targets.
constexpr std::uint32_t pieces_per_unowned_range = 4;
/// Approximate number of ranges of the initial distribution. Several ranges for each target give neighbouring
/// ranges different owners.
constexpr std::size_t initial_range_count = 96;
/// Maximum number of ranges that a target receives in the initial distribution.
constexpr std::size_t max_ranges_per_target = 6;
/// Maximum number of times that the wanted rate is halved if no window is found.
constexpr int max_halvings = 4;
/// Share of the owner's capacity above which a key counts as dominant.
constexpr double dominant_key_share = 0.4;
/// Minimum ratio of capacities at which a dominant key moves to a faster target.
constexpr double min_speed_ratio = 1.3;
/// Minimum and maximum load of a key window that is moved, relative to the load whose move would balance the
/// two targets.
constexpr double min_window_share = 0.6;
constexpr double max_window_share = 1.15;
/// Utilisation up to which a target receives load, relative to the mean utilisation of all targets.
constexpr double fill_limit_factor = 1.1;
/// Number of standard deviations by which a measured rate must exceed the limit for a target to count as
/// busy. At a few requests per second per target, random variation alone makes some targets appear busy.
constexpr double rate_margin_deviations = 1;

/// Load and utilisation of the targets, updated while moves are planned.
class utilisation_table {
public:
    utilisation_table(std::span<const balance_target> targets, const assignment& current,
                      const key_load& load)
        : targets_(targets), loads_(targets.size())
    {
        for (const auto& range : current.ranges())
            if (const auto index = find(range.owner.id))
                loads_[*index] += load.rate(range.keys);
    }

    [[nodiscard]] std::optional<std::size_t> find(std::string_view id) const
    {
        for (std::size_t index = 0; index < targets_.size(); ++index)
            if (targets_[index].incarnation.id == id)
                return index;
        return std::nullopt;
    }
    [[nodiscard]] double utilisation(std::size_t index) const
    {
        return loads_[index] / targets_[index].capacity;
    }
    [[nodiscard]] double rate(std::size_t index) const { return loads_[index]; }
    [[nodiscard]] std::size_t least_utilised() const
    {
        std::size_t best = 0;
        for (std::size_t index = 1; index < targets_.size(); ++index)
            if (utilisation(index) < utilisation(best))
                best = index;
        return best;
    }
    [[nodiscard]] std::optional<std::size_t> most_utilised(const std::vector<bool>& except) const
    {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < targets_.size(); ++index)
            if (!except[index] && (!best || utilisation(index) > utilisation(*best)))
                best = index;
        return best;
    }
    [[nodiscard]] std::size_t fastest() const
    {
        std::size_t best = 0;
        for (std::size_t index = 1; index < targets_.size(); ++index)
            if (targets_[index].capacity > targets_[best].capacity)
                best = index;
        return best;
    }
    /// Returns the load of all targets divided by their total capacity.
    [[nodiscard]] double mean_utilisation() const
    {
        double load = 0;
        double capacity = 0;
        for (std::size_t index = 0; index < targets_.size(); ++index) {
            load += loads_[index];
            capacity += targets_[index].capacity;
        }
        return load / capacity;
    }
    void add(std::size_t index, double rate) { loads_[index] += rate; }

private:
    std::span<const balance_target> targets_;
    std::vector<double> loads_;
};

/// Consecutive keys and their total rate in requests per second.
struct key_window {
    key_range keys;
    double rate = 0;
};

/// Finds the narrowest window of a range whose rate is near the wanted rate.
std::optional<key_window> narrowest_window(key_range keys, double wanted_rate, const key_load& load)
{
    std::optional<key_window> best;
    double sum = 0;
    std::uint32_t first = keys.first;
    for (std::uint32_t last = keys.first; last <= keys.last; ++last) {
        sum += load.rate(static_cast<key_number>(last));
        while (first < last &&
               sum - load.rate(static_cast<key_number>(first)) >= wanted_rate * min_window_share)
            sum -= load.rate(static_cast<key_number>(first++));
        if (sum < wanted_rate * min_window_share || sum > wanted_rate * max_window_share)
            continue;
        const key_range found{static_cast<key_number>(first), static_cast<key_number>(last)};
        if (!best || found.size() < best->keys.size())
            best = key_window{found, sum};
    }
    return best;
}

/// Finds the key with the highest rate among the ranges of an owner that have no former owners.
std::optional<key_window> hottest_key(const assignment& current, std::string_view owner, const key_load& load)
{
    std::optional<key_window> best;
    for (const auto& range : current.ranges()) {
        if (range.owner.id != owner || !range.former_owners.empty())
            continue;
        for (std::uint32_t key = range.keys.first; key <= range.keys.last; ++key) {
            const auto number = static_cast<key_number>(key);
            if (!best || load.rate(number) > best->rate)
                best = key_window{{number, number}, load.rate(number)};
        }
    }
    return best;
}

/// Finds the narrowest window of all movable ranges of an owner whose rate is near the wanted rate.
std::optional<key_window> narrowest_window(const assignment& current, std::string_view owner,
                                           double wanted_rate, const key_load& load)
{
    std::optional<key_window> best;
    for (const auto& range : current.ranges()) {
        // A range is not moved again while a former owner may still hold it.
        if (range.owner.id != owner || !range.former_owners.empty())
            continue;
        const auto found = narrowest_window(range.keys, wanted_rate, load);
        if (found && (!best || found->keys.size() < best->keys.size()))
            best = found;
    }
    return best;
}

/// Finds a window of an owner near the wanted rate. If there is none, the wanted rate is halved, up to
/// `max_halvings` times.
std::optional<key_window> best_window(const assignment& current, std::string_view owner, double wanted_rate,
                                      const key_load& load)
{
    for (int halvings = 0; halvings <= max_halvings && wanted_rate > 0; ++halvings, wanted_rate /= 2)
        if (const auto found = narrowest_window(current, owner, wanted_rate, load))
            return found;
    return std::nullopt;
}

} // namespace

void key_load::decay(microseconds elapsed)
{
    const auto factor =
        static_cast<float>(std::exp(-static_cast<double>(elapsed.count()) / us_per_s / window_s_));
    for (auto& rate : rates_)
        rate *= factor;
}

double key_load::rate(key_range keys) const
{
    double sum = 0;
    for (std::uint32_t key = keys.first; key <= keys.last; ++key)
        sum += rates_[key];
    return sum / window_s_;
}

std::vector<balance_move> distribute_by_capacity(std::span<const balance_target> targets)
{
    std::vector<balance_move> moves;
    if (targets.empty())
        return moves;
    const auto ranges_per_target =
        std::clamp<std::size_t>(initial_range_count / targets.size(), 1, max_ranges_per_target);
    double total = 0;
    for (const auto& target : targets)
        total += target.capacity;
    total *= static_cast<double>(ranges_per_target);
    double capacity_so_far = 0;
    std::uint32_t first = 0;
    const double keys = last_key + 1.0;
    for (std::size_t piece = 0; piece < ranges_per_target * targets.size(); ++piece) {
        const auto& target = targets[piece % targets.size()];
        capacity_so_far += target.capacity;
        const bool is_last = piece + 1 == ranges_per_target * targets.size();
        const auto end = is_last ? std::uint32_t{last_key} + 1
                                 : static_cast<std::uint32_t>(keys * capacity_so_far / total);
        if (end <= first)
            continue;
        moves.push_back(
            {{static_cast<key_number>(first), static_cast<key_number>(end - 1)}, target.incarnation});
        first = end;
    }
    return moves;
}

std::vector<balance_move> place_unowned_ranges(const assignment& current,
                                               std::span<const balance_target> targets, const key_load& load,
                                               const std::function<bool(const owned_range&)>& needs_owner)
{
    std::vector<balance_move> moves;
    if (targets.empty())
        return moves;
    utilisation_table table(targets, current, load);
    // Keys without measured load count with a small base rate, so that they are distributed over the targets.
    double capacity = 0;
    for (const auto& target : targets)
        capacity += target.capacity;
    const double base_rate_per_key = capacity * 0.2 / (last_key + 1.0);
    for (const auto& range : current.ranges()) {
        if (!needs_owner(range))
            continue;
        const auto pieces = std::min(pieces_per_unowned_range, range.keys.size());
        std::uint32_t first = range.keys.first;
        for (std::uint32_t piece = 0; piece < pieces; ++piece) {
            const auto last = range.keys.first + range.keys.size() * (piece + 1) / pieces - 1;
            const key_range keys{static_cast<key_number>(first), static_cast<key_number>(last)};
            first = last + 1;
            const auto destination = table.least_utilised();
            table.add(destination, load.rate(keys) + base_rate_per_key * keys.size());
            if (!moves.empty() && moves.back().to == targets[destination].incarnation &&
                moves.back().keys.last + 1 == keys.first)
                moves.back().keys.last = keys.last;
            else
                moves.push_back({keys, targets[destination].incarnation});
        }
    }
    return moves;
}

std::vector<balance_move> rebalance_load(const assignment& current, std::span<const balance_target> targets,
                                         const key_load& load, const rebalance_limits& limits)
{
    std::vector<balance_move> moves;
    if (targets.size() < 2)
        return moves;
    utilisation_table table(targets, current, load);
    assignment planned = current;
    std::vector<bool> skipped(targets.size(), false);
    // Each destination is filled only up to this limit, so that a load many times too large for its owner
    // moves to many targets in one round.
    const double max_utilisation =
        std::max(limits.min_utilisation, table.mean_utilisation() * fill_limit_factor);
    while (moves.size() < limits.max_moves) {
        const auto most_utilised = table.most_utilised(skipped);
        if (!most_utilised)
            break;
        const auto source = *most_utilised;
        auto destination = table.least_utilised();
        const double difference = table.utilisation(source) - table.utilisation(destination);
        if (table.utilisation(source) < limits.min_utilisation ||
            difference < limits.min_utilisation_difference)
            break;
        const double rate_margin = rate_margin_deviations * std::sqrt(table.rate(source) / load.window_s());
        if (table.rate(source) - rate_margin < limits.min_utilisation * targets[source].capacity) {
            skipped[source] = true;
            continue;
        }
        double wanted_rate = difference / (1 / targets[source].capacity + 1 / targets[destination].capacity);
        if (const double headroom =
                (max_utilisation - table.utilisation(destination)) * targets[destination].capacity;
            headroom > 0)
            wanted_rate = std::min(wanted_rate, headroom);
        const auto hottest = hottest_key(planned, targets[source].incarnation.id, load);
        const bool dominant = hottest && hottest->rate > targets[source].capacity * dominant_key_share;
        std::optional<key_window> found;
        if (const auto faster = dominant && limits.allow_dominant_key_moves ? table.fastest() : source;
            targets[faster].capacity > targets[source].capacity * min_speed_ratio) {
            found = hottest;
            destination = faster;
        }
        else {
            const double rate_limit = dominant ? (table.rate(source) - hottest->rate) / 2 : wanted_rate;
            found =
                best_window(planned, targets[source].incarnation.id, std::min(wanted_rate, rate_limit), load);
        }
        if (!found || found->rate <= 0) {
            skipped[source] = true;
            continue;
        }
        moves.push_back({found->keys, targets[destination].incarnation});
        planned.assign(found->keys, targets[destination].incarnation, 0, {});
        table.add(source, -found->rate);
        table.add(destination, found->rate);
    }
    return moves;
}

} // namespace teaseltally
