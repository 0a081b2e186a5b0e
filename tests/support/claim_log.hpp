#ifndef KUMQUATDRIFT_TESTS_SUPPORT_CLAIM_LOG_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_CLAIM_LOG_HPP

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Fault of the next append to a `claim_log`. */
enum class append_fault : std::uint8_t {
    none,
    /*! @brief The record is not written, and the append returns `verdict::not_run`. */
    not_written,
    /*! @brief The record is written, but the response is lost. */
    lost_response,
    /*! @brief The response is lost, and the record is written only by `append_delayed`. */
    delayed,
};

/*! @brief In-memory log with injectable faults, for decision tests. Never blocks. Not thread-safe. */
class claim_log {
public:
    /*! @brief While true, appends fail with `verdict::not_run` and reads fail. */
    bool outage{};
    /*! @brief Fault of the next append, which resets it. */
    append_fault fault{append_fault::none};

    append_result append(std::string_view stream, std::string payload)
    {
        const auto current = std::exchange(this->fault, append_fault::none);
        if (this->outage || current == append_fault::not_written) {
            return {verdict::not_run, 0, "the log refused the connection"};
        }
        if (current == append_fault::delayed) {
            this->delayed.emplace_back(stream, std::move(payload));
            return {verdict::may_have_run, 0, "the response of the log was lost"};
        }
        auto& records = this->streams[std::string{stream}].records;
        records.push_back(std::move(payload));
        if (current == append_fault::lost_response) {
            return {verdict::may_have_run, 0, "the response of the log was lost"};
        }
        return {verdict::ran, records.size() - 1, {}};
    }

    result<log_batch> read(std::string_view stream, log_offset from, std::size_t limit)
    {
        if (this->outage) {
            return failure{"the log refused the connection"};
        }
        const auto& source = this->streams[std::string{stream}];
        log_batch batch;
        batch.bounds = {source.earliest, source.records.size()};
        for (auto offset = std::max(from, source.earliest);
             offset < source.records.size() && batch.records.size() < limit; ++offset) {
            batch.records.push_back({offset, source.records[offset]});
        }
        return batch;
    }

    /*! @brief Expires the oldest retained records of a stream. */
    void expire(std::string_view stream, std::size_t count)
    {
        auto& source = this->streams[std::string{stream}];
        source.earliest = std::min<log_offset>(source.earliest + count, source.records.size());
    }

    /*! @brief Writes the records of delayed appends. */
    void append_delayed()
    {
        for (auto& [stream, payload] : std::exchange(this->delayed, {})) {
            this->streams[stream].records.push_back(std::move(payload));
        }
    }

    [[nodiscard]] log_bounds bounds(std::string_view stream)
    {
        const auto& source = this->streams[std::string{stream}];
        return {source.earliest, source.records.size()};
    }

    [[nodiscard]] const std::vector<std::string>& records(std::string_view stream)
    {
        return this->streams[std::string{stream}].records;
    }

private:
    struct stream_state {
        log_offset earliest{};
        std::vector<std::string> records{};
    };

    std::map<std::string, stream_state> streams{};
    std::vector<std::pair<std::string, std::string>> delayed{};
};

} // namespace kumquatdrift

#endif
