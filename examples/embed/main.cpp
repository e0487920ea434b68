// Uses the installed library: a voter grants the lease of a target.

#include <teaseltally/teaseltally.hpp>

#include <iostream>

int main()
{
    teaseltally::lease_voter voter{teaseltally::lease_timings{}};
    const auto now = teaseltally::boot_clock::now();
    voter.adopt_voter_set(teaseltally::epoch{1}, now - std::chrono::seconds{10});
    teaseltally::lease_request request;
    request.from = teaseltally::session_id{7};
    request.voters = teaseltally::epoch{1};
    request.claims = {{teaseltally::target_id{0}, teaseltally::term{1}, false}};
    const auto answers = voter.answer(request, now);
    std::cout << "granted: " << answers.front().granted << "\n";
    return answers.front().granted ? 0 : 1;
}
