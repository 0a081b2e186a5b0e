#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_CLIENT_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_CLIENT_HPP

#include <deque>
#include <memory>
#include <string>
#include <utility>

#include <grpcpp/channel.h>

#include <kumquatdrift/core/bounded_ring.hpp>
#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

struct exchange_call;

/*! @brief Client of the digest exchange. Runs at most one exchange at a time and caches a few channels. */
class exchange_client {
public:
    /*! @brief Creates a client without channels. */
    exchange_client();

    /*! @brief Cancels the call in progress and waits for its completion, at most for the call timeout. */
    ~exchange_client();
    exchange_client(const exchange_client&) = delete;
    exchange_client& operator=(const exchange_client&) = delete;
    exchange_client(exchange_client&&) = delete;
    exchange_client& operator=(exchange_client&&) = delete;

    /**
     * @brief Processes completed calls, then starts an exchange if one is due. Does not block.
     * @param state State; the caller holds its mutex.
     * @param now Current time.
     * @param rng Random engine.
     */
    void run(membership_state& state, timestamp now, random_engine& rng);

private:
    using completion = std::pair<std::shared_ptr<exchange_call>, bool>;

    void begin(membership_state& state, timestamp now, random_engine& rng);
    void process(membership_state& state, const completion& done, timestamp now);
    void fetch(const std::shared_ptr<exchange_call>& call);
    std::shared_ptr<grpc::Channel> channel_to(const std::string& address);

    std::shared_ptr<bounded_ring<completion>> completions;
    std::shared_ptr<exchange_call> current{};
    std::deque<std::pair<std::string, std::shared_ptr<grpc::Channel>>> channels{};
};

} // namespace kumquatdrift::internal

#endif
