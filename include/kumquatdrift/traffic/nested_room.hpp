#ifndef KUMQUATDRIFT_TRAFFIC_NESTED_ROOM_HPP
#define KUMQUATDRIFT_TRAFFIC_NESTED_ROOM_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Limits how many requests that make nested calls run on a target at the same time, so that their
 *        calls find room. Not synchronised, reads no clock.
 *
 * A request keeps its slot while it waits for its nested calls. If these calls need slots of the same
 * service, more running requests leave less room for them, and requests fail with all their work done. The
 * limit falls with each nested call that is refused for lack of room and rises with time. Each node decides
 * by the calls of its own target; as those go to all targets of the called services, the nodes' limits settle
 * where few calls are refused.
 */
class nested_room {
public:
    /**
     * @brief Records the end of a nested call that the target made.
     * @param refused True if it was refused for lack of room.
     * @param slots Number of slots of the target.
     * @param now Current time.
     */
    void on_call_ended(bool refused, std::uint32_t slots, timestamp now) noexcept;

    /**
     * @brief Returns how many requests that make nested calls may run at the same time.
     * @param slots Number of slots of the target.
     * @param now Current time.
     * @return Number of requests, from 1 to the number of slots.
     */
    [[nodiscard]] std::uint32_t limit(std::uint32_t slots, timestamp now) const noexcept;

private:
    [[nodiscard]] double limit_at(std::uint32_t slots, timestamp now) const noexcept;

    /*! @brief Limit when it last fell; 0 if it never did. */
    double lowered_to{};
    timestamp lowered_at{};
};

/**
 * @brief Learns which routes have requests that make nested calls. Not synchronised.
 */
class nested_call_routes {
public:
    /*! @brief Number of routes above which all are discarded. Bounds the memory over many configurations. */
    static constexpr std::size_t max_routes = 4'096;

    /**
     * @brief Records the end of a request.
     * @param route Hash of its route; 0 if unknown, then ignored.
     * @param made_calls True if the target made a nested call on its behalf.
     */
    void on_run_ended(std::uint32_t route, bool made_calls);

    /**
     * @brief Checks whether requests of a route make nested calls.
     * @param route Hash of the route.
     * @return True if a significant share of the recent ones did.
     */
    [[nodiscard]] bool contains(std::uint32_t route) const noexcept;

private:
    /*! @brief Share of the recent requests that made calls, of the routes with at least one of them. */
    std::unordered_map<std::uint32_t, double> shares{};
};

} // namespace kumquatdrift

#endif
