#include <teaseltally/net/timer_service.hpp>

namespace teaseltally {
namespace {

/// Interval at which due subscribers are looked for.
constexpr milliseconds resolution{50};

} // namespace

struct timer_service::subscriber {
    milliseconds interval{};
    callback call;
    time_point due;
};

timer_service::timer_service(const asio::any_io_executor& executor) : timer_(executor)
{
    arm();
}

timer_service::~timer_service()
{
    *alive_ = false;
}

timer_service::subscription timer_service::every(milliseconds interval, callback call)
{
    auto new_subscriber =
        std::make_shared<subscriber>(subscriber{interval, std::move(call), boot_clock::now() + interval});
    subscribers_.push_back(new_subscriber);
    return new_subscriber;
}

void timer_service::arm()
{
    timer_.expires_after(resolution);
    timer_.async_wait([this, alive = alive_](boost::system::error_code failed) {
        if (!*alive || failed)
            return;
        const auto now = boot_clock::now();
        subscribers_.remove_if([](const auto& weak) { return weak.expired(); });
        for (const auto& weak : subscribers_) {
            const auto live_subscriber = weak.lock();
            if (!live_subscriber || now < live_subscriber->due)
                continue;
            live_subscriber->due = now + live_subscriber->interval;
            live_subscriber->call(now);
        }
        arm();
    });
}

} // namespace teaseltally
