#ifndef KUMQUATDRIFT_TARGET_SERVER_HANDLER_HPP
#define KUMQUATDRIFT_TARGET_SERVER_HANDLER_HPP

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "state.hpp"

namespace target_server {

/*! @brief Header with the request id; the ledger counts the executions of each id. */
inline constexpr const char* request_id_header = "x-request-id";

/*! @brief Header that makes the process crash before it responds. */
inline constexpr const char* crash_header = "x-crash";

/*! @brief Creates a handler for each request. */
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    /**
     * @brief Constructs the factory.
     * @param shared State of the target; must outlive the server.
     */
    explicit handler_factory(state& shared) noexcept : target{shared} {}

    /*! @brief Creates a handler. */
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    state& target;
};

} // namespace target_server

#endif
