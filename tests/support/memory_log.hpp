#ifndef KUMQUATDRIFT_TESTS_SUPPORT_MEMORY_LOG_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_MEMORY_LOG_HPP

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief In-memory fake of the platform's log with injectable faults. Reads never block. */
class memory_log {
public:
    /*! @brief While true, the log is unavailable and every operation fails. */
    bool outage{};
    /*! @brief Number of next appends that are written but whose responses are lost. */
    int lose_responses{};
    /*! @brief Number of next appends that are not written and get no response, so their effect is unknown. */
    int lose_requests{};

    /**
     * @brief Returns a port to this log.
     * @return The port; it must not outlive the log.
     */
    [[nodiscard]] log_port port()
    {
        log_port adapter;
        adapter.append = [this](std::string_view stream, std::string payload) {
            return this->append(stream, std::move(payload));
        };
        adapter.read = [this](std::string_view stream, log_offset from, std::size_t limit, milliseconds) {
            return this->read(stream, from, limit);
        };
        adapter.bounds = [this](std::string_view stream) -> result<log_bounds> {
            const auto batch = this->read(stream, 0, 0);
            if (!batch) {
                return failure{batch.last_reason()};
            }
            return batch->bounds;
        };
        return adapter;
    }

    /**
     * @brief Appends to a stream.
     * @param stream Name of the stream.
     * @param payload Payload of the record.
     * @return Same as the function of the port.
     */
    append_result append(std::string_view stream, std::string payload)
    {
        const std::lock_guard lock{this->mutex};
        if (this->outage) {
            return {verdict::not_run, 0, "the log is down"};
        }
        if (this->lose_requests > 0) {
            --this->lose_requests;
            return {verdict::may_have_run, 0, "the response was lost"};
        }
        auto& content = this->streams[std::string{stream}];
        const auto offset = content.earliest + content.payloads.size();
        content.payloads.push_back(std::move(payload));
        if (this->lose_responses > 0) {
            --this->lose_responses;
            return {verdict::may_have_run, 0, "the response was lost"};
        }
        return {verdict::ran, offset, {}};
    }

    /**
     * @brief Reads from a stream.
     * @param stream Name of the stream.
     * @param from First offset.
     * @param limit Maximum number of records.
     * @return Same as the function of the port.
     */
    result<log_batch> read(std::string_view stream, log_offset from, std::size_t limit)
    {
        const std::lock_guard lock{this->mutex};
        if (this->outage) {
            return failure{"the log is down"};
        }
        const auto& content = this->streams[std::string{stream}];
        const auto end = content.earliest + content.payloads.size();
        log_batch batch;
        batch.bounds = {content.earliest, end};
        for (auto offset = std::max(from, content.earliest); offset < end && batch.records.size() < limit;
             ++offset) {
            batch.records.push_back({offset, content.payloads[offset - content.earliest]});
        }
        return batch;
    }

    /**
     * @brief Expires the oldest records of a stream.
     * @param stream Name of the stream.
     * @param earliest Offset of the oldest record that remains.
     */
    void expire(std::string_view stream, log_offset earliest)
    {
        const std::lock_guard lock{this->mutex};
        auto& content = this->streams[std::string{stream}];
        while (content.earliest < earliest && !content.payloads.empty()) {
            content.payloads.pop_front();
            ++content.earliest;
        }
    }

private:
    struct stream_state {
        log_offset earliest{};
        std::deque<std::string> payloads{};
    };

    std::mutex mutex{};
    std::map<std::string, stream_state> streams{};
};

} // namespace kumquatdrift

#endif
