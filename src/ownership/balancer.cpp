#include <teaseltally/ownership/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace teaseltally {
namespace {

constexpr double us_per_s = 1e6;
/// Pieces into which a range without an owner is cut.
constexpr std::uint32_t vacated_pieces = 4;
/// A moved window carries between these shares of the load that would level two targets.
constexpr double least_share = 0.6;
constexpr double most_share = 1.15;

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
    [[nodiscard]] std::size_t idlest() const { return extreme(std::less<>{}); }
    [[nodiscard]] std::size_t busiest() const { return extreme(std::greater<>{}); }
    void add(std::size_t index, double rate) { loads_[index] += rate; }

private:
    template <typename Compare>
    [[nodiscard]] std::size_t extreme(Compare better) const
    {
        std::size_t best = 0;
        for (std::size_t index = 1; index < targets_.size(); ++index)
            if (better(utilisation(index), utilisation(best)))
                best = index;
        return best;
    }

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

} // namespace

void key_load::decay(microseconds elapsed)
{
    const auto factor =
        static_cast<float>(std::exp(-static_cast<double>(elapsed.count()) / us_per_s / window_s));
    for (auto& rate : rates_)
        rate *= factor;
}

double key_load::rate(key_range keys) const
{
    double sum = 0;
    for (std::uint32_t key = keys.first; key <= keys.last; ++key)
        sum += rates_[key];
    return sum / window_s;
}

std::vector<balance_move> spread_evenly(std::span<const balance_target> targets)
{
    double total = 0;
    for (const auto& target : targets)
        total += target.capacity;
    std::vector<balance_move> moves;
    double before = 0;
    std::uint32_t first = 0;
    const double keys = last_key + 1.0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        before += targets[index].capacity;
        const auto end = index + 1 == targets.size() ? std::uint32_t{last_key} + 1
                                                     : static_cast<std::uint32_t>(keys * before / total);
        if (end <= first)
            continue;
        moves.push_back(
            {{static_cast<key_number>(first), static_cast<key_number>(end - 1)}, targets[index].life});
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
                                     const key_load& load, const balance_limits& limits)
{
    std::vector<balance_move> moves;
    if (targets.size() < 2)
        return moves;
    load_table table(targets, current, load);
    assignment planned = current;
    while (moves.size() < limits.moves) {
        const auto busy = table.busiest();
        const auto idle = table.idlest();
        const double difference = table.utilisation(busy) - table.utilisation(idle);
        if (table.utilisation(busy) < limits.busy || difference < limits.difference)
            break;
        const double wanted = difference / (1 / targets[busy].capacity + 1 / targets[idle].capacity);
        const auto found = narrowest_window(planned, targets[busy].life.id, wanted, load);
        if (!found)
            break;
        moves.push_back({found->keys, targets[idle].life});
        planned.give(found->keys, targets[idle].life, 0);
        table.add(busy, -found->rate);
        table.add(idle, found->rate);
    }
    return moves;
}

} // namespace teaseltally
