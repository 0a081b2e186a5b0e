#ifndef KUMQUATDRIFT_TESTS_CONFIG_SUPPORT_HPP
#define KUMQUATDRIFT_TESTS_CONFIG_SUPPORT_HPP

#include <optional>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/records.hpp>

namespace kumquatdrift::testing_support {

/*! @brief A valid base with two routes. */
inline constexpr std::string_view lisbon_base = R"({
    "services": {"balcao": {"queue_limit": 40, "slow_start_ms": 5000}, "atelier": {"spill_over": false}},
    "routes": {
        "catalogue": {"path_prefix": "/catalogue", "methods": ["GET"], "service": "balcao", "idempotent": true,
            "deadline_ms": 1500, "retry": {"max_attempts": 3, "budget_percent": 20}},
        "reserve": {"path_prefix": "/reservations", "methods": ["POST"], "service": "balcao",
            "idempotency_key_header": "Idempotency-Key", "on_log_outage": "refuse",
            "limits": {"max_body_bytes": 65536, "max_in_flight": 100}}}})";

/**
 * @brief Parses a document that must be valid JSON.
 * @param text The text.
 * @return The document.
 */
inline json_document parse(std::string_view text)
{
    const auto document = json_document::parse(text);
    EXPECT_TRUE(document) << document.last_reason() << " in " << text;
    return document ? *document : json_document{};
}

/**
 * @brief Encodes an edit that replaces the whole content.
 * @param document Document name.
 * @param parent Offset of the parent; absent for a new document.
 * @param edit_id Edit id.
 * @param content Content.
 * @return Payload of the record.
 */
inline std::string make_edit(std::string_view document, std::optional<log_offset> parent,
                             std::string_view edit_id, std::string_view content)
{
    return make_edit_record({.document = std::string{document},
                             .parent = parent,
                             .edit_id = std::string{edit_id},
                             .author = "tester",
                             .content = parse(content)});
}

/*! @brief Fixture that folds payloads at consecutive offsets and keeps their records. */
class config_fold : public testing::Test {
protected:
    /**
     * @brief Appends a payload to the records and folds it at the next offset.
     * @param payload The payload.
     * @return The outcome.
     */
    fold_outcome append(std::string payload)
    {
        this->records.push_back({this->state.next_offset, std::move(payload)});
        return fold(this->state, this->records.back());
    }

    /**
     * @brief Returns the batch that a log holds after all older records have expired.
     * @param earliest Offset of the oldest retained record.
     * @return The batch.
     */
    [[nodiscard]] log_batch retained(log_offset earliest = 0) const
    {
        return {{earliest, this->records.size()},
                {this->records.begin() + static_cast<std::ptrdiff_t>(earliest), this->records.end()}};
    }

    config_state state{};
    std::vector<log_record> records{};
};

} // namespace kumquatdrift::testing_support

#endif
