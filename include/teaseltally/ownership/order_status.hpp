#pragma once

/// @file
/// Results of orders about keys.

namespace teaseltally {

/// Result of an order to a target.
enum class order_status {
    /// The target carried out the order.
    done,
    /// The target has seen a higher fencing token.
    conflict,
    /// The incarnation of the target is known to have ended.
    terminated,
    /// The order was not sent.
    not_sent,
    /// The order was sent and no usable response was received; it may have been carried out or may still be.
    unknown,
    /// The order was not sent: the host of the target refused the connection.
    refused,
    /// The order was not sent: no connection was left that surely leads to the process that the order is for.
    withheld,
};

} // namespace teaseltally
