#include <teaseltally/routing/route_table.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Returns a host in lower case, without its port.
std::string canonical_host(std::string_view host)
{
    std::string name{host.substr(0, host.find(':'))};
    std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return name;
}

} // namespace

route_table::route_table(routing_configuration configured) : configured_(std::move(configured))
{
    for (std::size_t index = 0; index < configured_.routes.size(); ++index) {
        const auto& added = configured_.routes[index];
        hosts_[canonical_host(added.host)].emplace(added.prefix, index);
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(canonical_host(host));
    if (prefixes == hosts_.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        if (const auto found = prefixes->second.find(std::string{path.substr(0, slash + 1)});
            found != prefixes->second.end())
            return &configured_.routes[found->second];
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
