#pragma once

#include <teaseltally/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>

/// @file
/// Time as a service that parts subscribe to.

namespace teaseltally {

namespace asio = boost::asio;

/// Calls subscribers at their intervals, on the executor's thread.
class timer_service {
public:
    using callback = std::function<void(time_point)>;

    explicit timer_service(const asio::any_io_executor& executor);
    ~timer_service();
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    timer_service(timer_service&&) = delete;
    timer_service& operator=(timer_service&&) = delete;

    /// Ends its subscription when it is destroyed.
    using subscription = std::shared_ptr<void>;

    /// Subscribes to an interval.
    /// @param interval time between calls.
    /// @param call called with the present time.
    [[nodiscard]] subscription every(milliseconds interval, callback call);

private:
    struct subscriber;
    void arm();

    asio::steady_timer timer_;
    std::list<std::weak_ptr<subscriber>> subscribers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace teaseltally
