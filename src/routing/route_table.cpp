#include <teaseltally/routing/route_table.hpp>

#include <algorithm>
#include <bit>
#include <xxhash.h>

namespace teaseltally {
namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool is_same_host(std::string_view left, std::string_view right)
{
    return std::ranges::equal(without_port(left), without_port(right), {}, lower, lower);
}

/// Returns the digest of a host, in which the port and the case of letters are ignored.
std::uint64_t digest_of_host(std::string_view host)
{
    std::string name{without_port(host)};
    std::ranges::transform(name, name.begin(), lower);
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t digest_of_prefix(std::uint64_t host_digest, std::string_view prefix)
{
    return XXH3_64bits_withSeed(prefix.data(), prefix.size(), host_digest);
}

} // namespace

const std::shared_ptr<const route_list::entry>& route_list::push_back(route added)
{
    const auto digest = digest_of_prefix(digest_of_host(added.host), added.prefix);
    return entries_.emplace_back(std::make_shared<const entry>(entry{std::move(added), digest}));
}

bool route_list::operator==(const route_list& other) const
{
    return std::ranges::equal(entries_, other.entries_, [](const auto& left, const auto& right) {
        return left == right || *left == *right;
    });
}

route_table::route_table(routing_configuration configured)
    : configured_(std::move(configured)), slots_(std::bit_ceil(2 * configured_.routes.size() + 1))
{
    const auto& routes = configured_.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        if (auto& slot = slots_[slot_of(routes[index].host, routes[index].prefix, routes.digest(index))];
            slot == 0)
            slot = static_cast<std::uint32_t>(index + 1);
}

std::size_t route_table::slot_of(std::string_view host, std::string_view prefix, std::uint64_t digest) const
{
    const auto& routes = configured_.routes;
    const auto mask = slots_.size() - 1;
    auto slot = static_cast<std::size_t>(digest) & mask;
    for (; slots_[slot] != 0; slot = (slot + 1) & mask) {
        const auto index = slots_[slot] - 1;
        if (routes.digest(index) == digest && routes[index].prefix == prefix &&
            is_same_host(routes[index].host, host))
            break;
    }
    return slot;
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto host_digest = digest_of_host(host);
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto prefix = path.substr(0, slash + 1);
        const auto slot = slots_[slot_of(host, prefix, digest_of_prefix(host_digest, prefix))];
        if (slot != 0)
            return &configured_.routes[slot - 1];
        if (slash == 0)
            break;
    }
    return nullptr;
}

const service_definition* route_table::find_service(std::string_view name) const
{
    const auto found = configured_.services.find(name);
    return found == configured_.services.end() ? nullptr : &found->second;
}

} // namespace teaseltally
