#include <kumquatdrift/log/read_retained.hpp>

#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

namespace kumquatdrift {

namespace {

/*! @brief Largest number of attempts to read a stream without gaps. */
constexpr int max_attempts = 3;

enum class page_outcome : std::uint8_t { more, complete, gap };

page_outcome append_page(log_batch& all, log_batch page)
{
    const auto next = all.bounds.end;
    if (page.bounds.earliest > next || (!page.records.empty() && page.records.front().offset != next)) {
        return page_outcome::gap;
    }
    all.bounds.end = next + page.records.size();
    std::move(page.records.begin(), page.records.end(), std::back_inserter(all.records));
    const auto complete = page.records.empty() || all.bounds.end >= page.bounds.end;
    return complete ? page_outcome::complete : page_outcome::more;
}

/*! @brief Reads all pages once. Returns no batch if records expired between two pages. */
result<std::optional<log_batch>> read_pages(const log_port& log, std::string_view stream,
                                            std::size_t page_records)
{
    auto first = log.read(stream, 0, page_records, milliseconds{0});
    if (!first) {
        return failure{first.last_reason()};
    }
    log_batch all;
    all.bounds.earliest = first->records.empty() ? first->bounds.earliest : first->records.front().offset;
    all.bounds.end = all.bounds.earliest;
    auto outcome = append_page(all, std::move(*first));
    while (outcome == page_outcome::more) {
        auto next = log.read(stream, all.bounds.end, page_records, milliseconds{0});
        if (!next) {
            return failure{next.last_reason()};
        }
        outcome = append_page(all, std::move(*next));
    }
    if (outcome == page_outcome::gap) {
        return std::optional<log_batch>{};
    }
    return std::optional{std::move(all)};
}

} // namespace

result<log_batch> read_retained(const log_port& log, std::string_view stream, std::size_t page_records)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto all = read_pages(log, stream, page_records);
        if (!all) {
            return failure{all.last_reason()};
        }
        if (*all) {
            return std::move(**all);
        }
    }
    return failure{"records of the stream expire faster than they can be read"};
}

} // namespace kumquatdrift
