#include <teaseltally/ownership/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace teaseltally {
namespace {

constexpr double us_per_s = 1e6;
/// Pieces into which a range without an owner is cut.
constexpr std::uint32_t vacated_pieces = 4;
/// The first spread makes about this many ranges, so that neighbouring keys have different owners.
constexpr std::size_t spread_ranges = 96;
constexpr std::size_t most_rounds = 6;
/// How often the wanted load is halved when no range has as much.
constexpr int most_halvings = 4;
/// A key dominates its owner above this share of the owner's capacity.
constexpr double dominant_share = 0.4;
/// A dominant key moves to a target that is faster by this factor.
constexpr double worth_moving = 1.3;
/// A moved window carries between these shares of the load that would level two targets.
constexpr double least_share = 0.6;
constexpr double most_share = 1.15;
/// A target is filled up to this factor above the mean utilisation of all.
constexpr double above_mean = 1.1;
/// Standard deviations of a measured rate by which a target must be busy: at a few requests a second to each
/// target, chance alone makes some of them look busy.
constexpr double certainty = 1;

/// Load of the targets while moves are planned.
class load_table {
public:
    load_table(std::span<const balance_target> targets, const assignment& current, const key_load& load)
        : targets_(targets), loads_(targets.size())
    {
        for (const auto& range : current.ranges())
            if (const auto index = find(range.owner.id))
                loads_[*index] += load.rate(range.keys);
    }

    [[nodiscard]] std::optional<std::size_t> find(std::string_view id) const
    {
        for (std::size_t index = 0; index < targets_.size(); ++index)
            if (targets_[index].life.id == id)
                return index;
        return std::nullopt;
    }
    [[nodiscard]] double utilisation(std::size_t index) const
    {
        return loads_[index] / targets_[index].capacity;
    }
    [[nodiscard]] double rate(std::size_t index) const { return loads_[index]; }
    [[nodiscard]] std::size_t idlest() const
    {
        std::size_t best = 0;
        for (std::size_t index = 1; index < targets_.size(); ++index)
            if (utilisation(index) < utilisation(best))
                best = index;
        return best;
    }
    [[nodiscard]] std::optional<std::size_t> busiest(const std::vector<bool>& except) const
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
    /// @returns the load of all targets, relative to the capacity of all.
    [[nodiscard]] double mean() const
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

struct window {
    key_range keys;
    double rate = 0;
};

/// Finds the narrowest window of a range whose load is near the wanted one.
std::optional<window> narrowest_window(key_range keys, double wanted, const key_load& load)
{
    std::optional<window> best;
    double sum = 0;
    std::uint32_t first = keys.first;
    for (std::uint32_t last = keys.first; last <= keys.last; ++last) {
        sum += load.rate(static_cast<key_number>(last));
        while (first < last && sum - load.rate(static_cast<key_number>(first)) >= wanted * least_share)
            sum -= load.rate(static_cast<key_number>(first++));
        if (sum < wanted * least_share || sum > wanted * most_share)
            continue;
        const key_range found{static_cast<key_number>(first), static_cast<key_number>(last)};
        if (!best || found.size() < best->keys.size())
            best = window{found, sum};
    }
    return best;
}

/// Finds the key with the most load among those that an owner may give away.
std::optional<window> hottest_key(const assignment& current, std::string_view owner, const key_load& load)
{
    std::optional<window> best;
    for (const auto& range : current.ranges()) {
        if (range.owner.id != owner || !range.former.empty())
            continue;
        for (std::uint32_t key = range.keys.first; key <= range.keys.last; ++key) {
            const auto number = static_cast<key_number>(key);
            if (!best || load.rate(number) > best->rate)
                best = window{{number, number}, load.rate(number)};
        }
    }
    return best;
}

std::optional<window> narrowest_window(const assignment& current, std::string_view owner, double wanted,
                                       const key_load& load)
{
    std::optional<window> best;
    for (const auto& range : current.ranges()) {
        // A range whose former owner may still hold it is not moved again before that is settled.
        if (range.owner.id != owner || !range.former.empty())
            continue;
        const auto found = narrowest_window(range.keys, wanted, load);
        if (found && (!best || found->keys.size() < best->keys.size()))
            best = found;
    }
    return best;
}

/// Finds a window for as much of the wanted load as one range has.
std::optional<window> best_window(const assignment& current, std::string_view owner, double wanted,
                                  const key_load& load)
{
    for (int halvings = 0; halvings <= most_halvings && wanted > 0; ++halvings, wanted /= 2)
        if (const auto found = narrowest_window(current, owner, wanted, load))
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

std::vector<balance_move> spread_evenly(std::span<const balance_target> targets)
{
    std::vector<balance_move> moves;
    if (targets.empty())
        return moves;
    const auto rounds = std::clamp<std::size_t>(spread_ranges / targets.size(), 1, most_rounds);
    double total = 0;
    for (const auto& target : targets)
        total += target.capacity;
    total *= static_cast<double>(rounds);
    double before = 0;
    std::uint32_t first = 0;
    const double keys = last_key + 1.0;
    for (std::size_t piece = 0; piece < rounds * targets.size(); ++piece) {
        const auto& target = targets[piece % targets.size()];
        before += target.capacity;
        const bool final = piece + 1 == rounds * targets.size();
        const auto end =
            final ? std::uint32_t{last_key} + 1 : static_cast<std::uint32_t>(keys * before / total);
        if (end <= first)
            continue;
        moves.push_back({{static_cast<key_number>(first), static_cast<key_number>(end - 1)}, target.life});
        first = end;
    }
    return moves;
}

std::vector<balance_move> place_vacated(const assignment& current, std::span<const balance_target> targets,
                                        const key_load& load,
                                        const std::function<bool(const owned_range&)>& vacated)
{
    std::vector<balance_move> moves;
    if (targets.empty())
        return moves;
    load_table table(targets, current, load);
    // Keys without measured load still count a little, so that they are spread over targets.
    double capacity = 0;
    for (const auto& target : targets)
        capacity += target.capacity;
    const double per_key = capacity * 0.2 / (last_key + 1.0);
    for (const auto& range : current.ranges()) {
        if (!vacated(range))
            continue;
        const auto pieces = std::min(vacated_pieces, range.keys.size());
        std::uint32_t first = range.keys.first;
        for (std::uint32_t piece = 0; piece < pieces; ++piece) {
            const auto last = range.keys.first + range.keys.size() * (piece + 1) / pieces - 1;
            const key_range keys{static_cast<key_number>(first), static_cast<key_number>(last)};
            first = last + 1;
            const auto to = table.idlest();
            table.add(to, load.rate(keys) + per_key * keys.size());
            if (!moves.empty() && moves.back().to == targets[to].life &&
                moves.back().keys.last + 1 == keys.first)
                moves.back().keys.last = keys.last;
            else
                moves.push_back({keys, targets[to].life});
        }
    }
    return moves;
}

std::vector<balance_move> level_load(const assignment& current, std::span<const balance_target> targets,
                                     const key_load& load, const level_limits& limits)
{
    std::vector<balance_move> moves;
    if (targets.size() < 2)
        return moves;
    load_table table(targets, current, load);
    assignment planned = current;
    std::vector<bool> settled(targets.size(), false);
    // A load that is many times too large for its owner is spread over many targets at once.
    const double full = std::max(limits.busy, table.mean() * above_mean);
    while (moves.size() < limits.moves) {
        const auto busiest = table.busiest(settled);
        if (!busiest)
            break;
        const auto busy = *busiest;
        auto to = table.idlest();
        const double difference = table.utilisation(busy) - table.utilisation(to);
        if (table.utilisation(busy) < limits.busy || difference < limits.difference)
            break;
        const double chance = certainty * std::sqrt(table.rate(busy) / load.window_s());
        if (table.rate(busy) - chance < limits.busy * targets[busy].capacity) {
            settled[busy] = true;
            continue;
        }
        double wanted = difference / (1 / targets[busy].capacity + 1 / targets[to].capacity);
        if (const double room = (full - table.utilisation(to)) * targets[to].capacity; room > 0)
            wanted = std::min(wanted, room);
        const auto hot = hottest_key(planned, targets[busy].life.id, load);
        const bool dominant = hot && hot->rate > targets[busy].capacity * dominant_share;
        std::optional<window> found;
        if (const auto faster = dominant && limits.move_dominant ? table.fastest() : busy;
            targets[faster].capacity > targets[busy].capacity * worth_moving) {
            found = hot;
            to = faster;
        }
        else {
            const double rest = dominant ? (table.rate(busy) - hot->rate) / 2 : wanted;
            found = best_window(planned, targets[busy].life.id, std::min(wanted, rest), load);
        }
        if (!found || found->rate <= 0) {
            settled[busy] = true;
            continue;
        }
        moves.push_back({found->keys, targets[to].life});
        planned.give(found->keys, targets[to].life, 0, {});
        table.add(busy, -found->rate);
        table.add(to, found->rate);
    }
    return moves;
}

} // namespace teaseltally
