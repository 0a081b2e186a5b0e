#ifndef KUMQUATDRIFT_SRC_CTL_PUBLISHING_HPP
#define KUMQUATDRIFT_SRC_CTL_PUBLISHING_HPP

#include <string>

#include <kumquatdrift/config/state.hpp>
#include <kumquatdrift/ctl/run.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift::internal {

/*! @brief New content of a document. */
struct publish_request {
    /*! @brief Document name. */
    std::string document{};
    /*! @brief Content. */
    json_document content{};
    /*! @brief Author. */
    std::string author{};
};

/*! @brief What became of a request. */
struct publish_report {
    /*! @brief Exit code: `ok`, `invalid`, `lost_race`, `log_unavailable` or `failed`. */
    exit_code code{exit_code::failed};
    /*! @brief False if the document had this content already and nothing was sent. */
    bool changed{};
    /*! @brief Version with the content, if the code is `ok`. */
    config_version version{};
    /*! @brief Edit id, if something was sent. */
    std::string edit_id{};
    /*! @brief Bytes of the record. */
    std::size_t bytes{};
    /*! @brief True if the record holds a patch instead of the content. */
    bool patch{};
    /*! @brief What is wrong and what to do, unless the code is `ok`. */
    std::string reason{};
};

/**
 * @brief Publishes a document.
 *
 * A record whose answer is lost is looked up in the log by its edit id before it is sent again, with the same
 * id. Should the first copy arrive late, the fold discards one of the two.
 *
 * @param log Port to the log.
 * @param state State folded from the log; the edit is based on it.
 * @param request The request.
 * @param ports Ports.
 * @return The report.
 */
[[nodiscard]] publish_report publish_document(const log_port& log, config_state state,
                                              const publish_request& request, const ctl_ports& ports);

} // namespace kumquatdrift::internal

#endif
