#ifndef KUMQUATDRIFT_PROXY_CONNECTION_POOL_HPP
#define KUMQUATDRIFT_PROXY_CONNECTION_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/channel.hpp>
#include <kumquatdrift/proxy/fwd.hpp>

namespace kumquatdrift {

/*! @brief Why a pool gave no connection. */
enum class connect_status : std::uint8_t {
    /*! @brief There is a connection. */
    connected,
    /*! @brief The connection was refused, or the address cannot be reached. */
    refused,
    /*! @brief The connection was not established in time. */
    timed_out,
    /*! @brief All connections to the address were in use until the deadline. */
    exhausted,
};

/*! @brief Limits of one pool. */
struct connection_limits {
    /*! @brief Largest number of connections to one address. */
    std::uint32_t per_address{64};
    /*! @brief Time to establish a connection. */
    milliseconds connect_timeout{500};
    /*! @brief Idle connections are closed after this time. */
    milliseconds idle_time{20'000};
};

/*! @brief A connection taken from a pool. It is closed unless it is given back. */
class pooled_connection {
public:
    /*! @brief Constructs an empty handle. */
    pooled_connection() noexcept = default;

    /**
     * @brief Constructs a handle; called by the pool.
     * @param owner Pool.
     * @param peer Address of the other side.
     * @param open Connection.
     * @param used True if the connection carried a request before.
     */
    pooled_connection(std::shared_ptr<connection_pool> owner, std::string peer, std::unique_ptr<channel> open,
                      bool used) noexcept;

    pooled_connection(pooled_connection&& other) noexcept = default;
    pooled_connection& operator=(pooled_connection&& other) noexcept;
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;
    ~pooled_connection();

    /*! @brief Checks whether the handle holds a connection. */
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return this->connection != nullptr;
    }

    /*! @brief Returns the connection. There must be one. */
    [[nodiscard]] channel& io() const noexcept
    {
        return *this->connection;
    }

    /*! @brief Checks whether the connection carried a request before. */
    [[nodiscard]] bool is_reused() const noexcept
    {
        return this->reused;
    }

    /*! @brief Returns the connection for reuse. Only after a complete answer to a complete request. */
    void give_back();

    /*! @brief Closes the connection with a reset. */
    void abort();

private:
    void release(bool reusable);

    std::shared_ptr<connection_pool> pool{};
    std::string address{};
    std::unique_ptr<channel> connection{};
    bool reused{};
};

/*! @brief Connection for a request, or the reason for its absence. */
struct pool_answer {
    /*! @brief Outcome. */
    connect_status status{connect_status::refused};
    /*! @brief Connection. Valid only if the outcome is `connected`. */
    pooled_connection connection{};
};

/**
 * @brief Keep-alive connections by address. Safe for any thread.
 *
 * The connection used last is taken first, so that few stay open. A connection that the other side has
 * closed, or on which it sent bytes without being asked, is discarded before it is used.
 */
class connection_pool : public std::enable_shared_from_this<connection_pool> {
public:
    /**
     * @brief Creates a pool.
     * @param limits Limits.
     * @param input_bytes Capacity of the input buffer of each connection in bytes.
     * @return The pool.
     */
    [[nodiscard]] static std::shared_ptr<connection_pool> create(const connection_limits& limits,
                                                                 std::size_t input_bytes);

    /**
     * @brief Takes an idle connection or opens one.
     * @param address IP address and port.
     * @param until Latest time.
     * @return The connection or the reason for its absence. In that case no byte was sent.
     */
    [[nodiscard]] pool_answer acquire(const std::string& address, timestamp until);

    /**
     * @brief Closes the idle connections to an address, because its process died or went away.
     * @param address IP address and port.
     */
    void discard_idle(const std::string& address);

    /**
     * @brief Returns the number of idle connections.
     * @return Number of connections.
     */
    [[nodiscard]] std::size_t idle_connections() const;

private:
    friend class pooled_connection;

    struct idle_connection {
        std::unique_ptr<channel> connection{};
        timestamp since{};
    };

    struct entry {
        std::vector<idle_connection> idle{};
        std::uint32_t in_use{};
        std::uint32_t waiting{};
    };

    connection_pool(const connection_limits& settings, std::size_t input_bytes) noexcept;

    [[nodiscard]] std::unique_ptr<channel> take_idle(entry& peer, timestamp now);
    [[nodiscard]] pool_answer open(const std::string& address, timestamp until);
    void release(const std::string& address, std::unique_ptr<channel> connection, bool reusable);
    void close_expired(timestamp now);

    connection_limits limits;
    std::size_t buffer_bytes;
    mutable std::mutex mutex{};
    std::condition_variable released{};
    std::map<std::string, entry, std::less<>> entries{};
    timestamp last_check{};
};

} // namespace kumquatdrift

#endif
