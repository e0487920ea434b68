// Applies a configuration and one slot move to a cluster state and looks up the owner of a key.

#include <teaseltally/teaseltally.hpp>

#include <iostream>

int main()
{
    using namespace teaseltally;
    const configuration_documents documents{"[deployment]\nname = example\nseed = 7\n"
                                            "[data_centre.east]\nregion = north\n"
                                            "[service.ledger]\nkeyed = true\nslots = 16\n"
                                            "[target.ledger-1]\nservice = ledger\ndata_centre = east\n"
                                            "address = 127.0.0.1:8001\n",
                                            {}};
    cluster_state state;
    const session_id author{1};
    if (state.apply(epoch{1}, {author, 1, configuration_publish{0, documents}}).code != result_code::ok)
        return 1;
    const auto key = hash_key("slot-17", state.settings().deployment.seed);
    const slot_id slot = state.slot_of(service_id{0}, key);
    (void)state.apply(epoch{2}, {author, 2, slot_move{service_id{0}, {{slot, no_epoch, target_id{0}}}}});
    const auto& ownership = state.ownership(service_id{0}, key);
    if (ownership.owner == no_target)
        return 1;
    std::cout << "slot " << number(slot) << " belongs to " << state.targets()[number(ownership.owner)].name
              << " since epoch " << number(ownership.since) << "\n";
    return 0;
}
