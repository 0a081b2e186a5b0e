#ifndef KUMQUATDRIFT_CORE_BOUNDED_RING_HPP
#define KUMQUATDRIFT_CORE_BOUNDED_RING_HPP

#include <cassert>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

#include <kumquatdrift/core/fwd.hpp>
#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Bounded queue between threads. Thread-safe for multiple producers and consumers.
 * @tparam Type Type of the elements.
 */
template<typename Type>
class bounded_ring {
public:
    /**
     * @brief Constructs an empty ring.
     * @param capacity Maximum number of elements, at least one.
     */
    explicit bounded_ring(std::size_t capacity) : elements{capacity}
    {
        assert(capacity > 0);
    }

    /**
     * @brief Adds an element unless the ring is full or closed.
     * @param element The element; moved from only on success.
     * @return True if it was added.
     */
    [[nodiscard]] bool try_push(Type&& element)
    {
        {
            const std::lock_guard lock{this->mutex};
            if (this->closed || this->elements.full()) {
                return false;
            }
            this->elements.push_back(std::move(element));
        }
        this->ready.notify_one();
        return true;
    }

    /**
     * @brief Waits for an element.
     * @param timeout Maximum time to wait.
     * @return The oldest element, or nothing after the timeout or once the ring is closed and empty.
     */
    [[nodiscard]] std::optional<Type> pop(microseconds timeout)
    {
        std::unique_lock lock{this->mutex};
        this->ready.wait_for(lock, timeout, [this] { return this->closed || !this->elements.empty(); });
        if (this->elements.empty()) {
            return std::nullopt;
        }
        std::optional<Type> element{std::move(this->elements.front())};
        this->elements.pop_front();
        return element;
    }

    /*! @brief Rejects further elements and wakes all consumers. */
    void close()
    {
        {
            const std::lock_guard lock{this->mutex};
            this->closed = true;
        }
        this->ready.notify_all();
    }

    /**
     * @brief Checks whether the ring was closed.
     * @return True once `close` has been called.
     */
    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock{this->mutex};
        return this->closed;
    }

    /**
     * @brief Returns the current number of elements.
     * @return Number of elements.
     */
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{this->mutex};
        return this->elements.size();
    }

private:
    mutable std::mutex mutex{};
    std::condition_variable ready{};
    boost::circular_buffer<Type> elements;
    bool closed{};
};

} // namespace kumquatdrift

#endif
