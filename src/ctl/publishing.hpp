#ifndef KUMQUATDRIFT_SRC_CTL_PUBLISHING_HPP
#define KUMQUATDRIFT_SRC_CTL_PUBLISHING_HPP

#include <string>

#include <kumquatdrift/config/state.hpp>
#include <kumquatdrift/ctl/run.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift::internal {

/*! @brief Request to publish new content of a document. */
struct publish_request {
    /*! @brief Document name. */
    std::string document{};
    /*! @brief New content. */
    json_document content{};
    /*! @brief Author of the edit. */
    std::string author{};
};

/*! @brief Outcome of a publish request. */
struct publish_report {
    /*! @brief Exit code: `ok`, `invalid`, `lost_race`, `log_unavailable` or `failed`. */
    exit_code code{exit_code::failed};
    /*! @brief False if nothing was appended, because the document already had this content. */
    bool changed{};
    /*! @brief Version in which the document got this content. Valid only if the code is `ok`. */
    config_version version{};
    /*! @brief Edit id, empty if no append was attempted. */
    std::string edit_id{};
    /*! @brief Size of the record in bytes. */
    std::size_t bytes{};
    /*! @brief True if the record contains a merge patch instead of the whole content. */
    bool patch{};
    /*! @brief What is wrong and what the user can do, empty if the code is `ok`. */
    std::string reason{};
};

/**
 * @brief Publishes a document.
 *
 * If the response to an append is lost, the record is looked up in the log by its edit id before the append
 * is retried with the same id. If the first copy arrives after the lookup, the fold discards the later of the
 * two copies as a duplicate.
 *
 * @param log Port to the log.
 * @param state State folded from the log. The edit is based on it.
 * @param request Document, content and author.
 * @param ports Source of edit ids and of delays between attempts.
 * @return Outcome of the request.
 */
[[nodiscard]] publish_report publish_document(const log_port& log, config_state state,
                                              const publish_request& request, const ctl_ports& ports);

} // namespace kumquatdrift::internal

#endif
