#include <teaseltally/ownership/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace teaseltally {
namespace {

constexpr double us_per_s = 1e6;
/// Maximum number of pieces into which a range without an owner is cut, and minimum number of keys of a
/// piece. Each piece goes to the least utilised target, so that the load of the range can be distributed over
/// several targets.
constexpr std::uint32_t pieces_per_unowned_range = 4;
constexpr std::uint32_t min_piece_keys = 128;
/// Maximum number of ranges of the first distribution. Each costs the coordinator a grant for each renewal.
constexpr std::size_t max_first_ranges = 640;
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

/// Load and utilisation of the targets, updated while moves are planned.
class utilisation_table {
public:
    utilisation_table(std::span<const balance_target> targets, const assignment& current,
                      const key_load& load)
        : targets_(targets), loads_(targets.size())
    {
        for (std::size_t index = 0; index < targets.size(); ++index)
            indices_.emplace(targets[index].incarnation.id, index);
        for (const auto& range : current.ranges())
            if (const auto index = find(range.owner.id))
                loads_[*index] += load.rate(range.keys);
    }

    [[nodiscard]] std::optional<std::size_t> find(std::string_view id) const
    {
        const auto found = indices_.find(id);
        return found == indices_.end() ? std::nullopt : std::optional{found->second};
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
    void move(std::size_t from, std::size_t to, double rate)
    {
        loads_[from] -= rate;
        loads_[to] += rate;
    }

private:
    std::span<const balance_target> targets_;
    std::unordered_map<std::string_view, std::size_t> indices_;
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

/// Returns the load whose move makes two targets equally utilised.
double balancing_rate(const utilisation_table& table, std::span<const balance_target> targets,
                      std::size_t from, std::size_t to)
{
    return (table.utilisation(from) - table.utilisation(to)) /
           (1 / targets[from].capacity + 1 / targets[to].capacity);
}

/// Returns by how many standard deviations the busiest of several equally loaded targets exceeds the mean by
/// chance. At a few requests per second, a target that is not overloaded counts as busy only beyond that.
double chance_deviations(std::size_t targets)
{
    return std::sqrt(2 * std::log(static_cast<double>(targets)));
}

/// Limits of the division of a window.
struct division_limits {
    double max_utilisation;
    double fill_share;
    std::size_t max_pieces;
};

/// Divides a window of a target's keys among the least utilised targets. The last keys stay if their target
/// is by then the least utilised one.
/// @param from target that the keys are moved from; its load and those of the others are updated.
std::vector<balance_move> divide_window(key_range window, std::size_t from,
                                        std::span<const balance_target> targets, utilisation_table& table,
                                        const key_load& load, const division_limits& limits)
{
    std::vector<balance_move> pieces;
    std::uint32_t first = window.first;
    while (first <= window.last && pieces.size() < limits.max_pieces) {
        const auto to = table.least_utilised();
        if (to == from)
            break;
        const double room = (limits.max_utilisation - table.utilisation(to)) * targets[to].capacity;
        const double limit = room * limits.fill_share;
        if (limit <= 0)
            break;
        double rate = 0;
        std::uint32_t end = first;
        for (; end <= window.last; ++end) {
            const double key_rate = load.rate(static_cast<key_number>(end));
            if (end > first && rate + key_rate > limit)
                break;
            rate += key_rate;
        }
        table.move(from, to, rate);
        pieces.push_back(
            {{static_cast<key_number>(first), static_cast<key_number>(end - 1)}, targets[to].incarnation});
        first = end;
    }
    return pieces;
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

std::vector<balance_move> distribute_by_capacity(std::span<const balance_target> targets,
                                                 std::size_t max_ranges)
{
    std::vector<balance_move> moves;
    if (targets.empty())
        return moves;
    const auto ranges_per_target = std::clamp<std::size_t>(max_first_ranges / targets.size(), 1, max_ranges);
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
        const auto pieces = std::clamp(range.keys.size() / min_piece_keys, 1U, pieces_per_unowned_range);
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
    const double margin_deviations = chance_deviations(targets.size());
    while (moves.size() < limits.max_moves) {
        const auto most_utilised = table.most_utilised(skipped);
        if (!most_utilised)
            break;
        const auto source = *most_utilised;
        const auto& owner = targets[source];
        const auto destination = table.least_utilised();
        const double difference = table.utilisation(source) - table.utilisation(destination);
        if (table.utilisation(source) < limits.min_utilisation ||
            difference < limits.min_utilisation_difference)
            break;
        // Deviation of an exponentially decaying average of random arrivals.
        const double deviation = std::sqrt(table.rate(source) / (2 * load.window_s()));
        const double rate = table.rate(source);
        if (rate - margin_deviations * deviation < max_utilisation * owner.capacity &&
            rate - deviation < std::max(max_utilisation, 1.0) * owner.capacity) {
            skipped[source] = true;
            continue;
        }
        const auto hottest = hottest_key(planned, owner.incarnation.id, load);
        const bool dominant = hottest && hottest->rate > owner.capacity * dominant_key_share;
        std::vector<balance_move> pieces;
        if (const auto faster = dominant && limits.allow_dominant_key_moves ? table.fastest() : source;
            targets[faster].capacity > owner.capacity * min_speed_ratio) {
            table.move(source, faster, hottest->rate);
            pieces.push_back({hottest->keys, targets[faster].incarnation});
        }
        else {
            double wanted_rate = std::max(table.rate(source) - max_utilisation * owner.capacity,
                                          balancing_rate(table, targets, source, destination));
            if (dominant)
                wanted_rate = std::min(wanted_rate, (table.rate(source) - hottest->rate) / 2);
            if (const auto window = best_window(planned, owner.incarnation.id, wanted_rate, load))
                pieces = divide_window(window->keys, source, targets, table, load,
                                       {max_utilisation, limits.fill_share, limits.max_moves - moves.size()});
        }
        if (pieces.empty()) {
            skipped[source] = true;
            continue;
        }
        for (auto& piece : pieces) {
            planned.assign(piece.keys, piece.to, 0, {});
            moves.push_back(std::move(piece));
        }
    }
    return moves;
}

} // namespace teaseltally
