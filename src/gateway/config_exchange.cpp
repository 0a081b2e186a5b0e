#include "config_exchange.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/mesh/document_delta.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Rate in bytes per second at which documents are sent to other nodes: about a quarter of the
 * thinnest link (6 Mbit/s), so that requests keep the rest. Nodes that are told to come back find others that
 * have the document by then. */
constexpr double send_bytes_per_second = 200'000.0;
/*! @brief Bytes of documents that may be sent at once. */
constexpr double send_burst_bytes = 100'000.0;
/*! @brief Upper bound of the age that is reported to other nodes. */
constexpr milliseconds max_reported_age{3'600'000};

} // namespace

config_exchange::config_exchange(dependencies components, timestamp now)
    : shared{std::move(components)}, send_budget{send_bytes_per_second, send_burst_bytes}
{
    this->fetch.started = now;
}

void config_exchange::set_config(mesh_config_ptr newest)
{
    if (this->config) {
        this->previous.emplace_front(this->config->version, this->config->document);
        this->previous.resize(std::min(this->previous.size(), max_previous_versions));
    }
    this->config = std::move(newest);
    this->compressed.clear();
    set_version_in_force(this->fetch, this->config->version);
}

std::optional<milliseconds> config_exchange::age(timestamp now) const noexcept
{
    if (this->fetch.confirmed_at == timestamp{}) {
        return std::nullopt;
    }
    return std::min(std::chrono::duration_cast<milliseconds>(now - this->fetch.confirmed_at),
                    max_reported_age);
}

std::optional<milliseconds> config_exchange::proven_age(timestamp now) const noexcept
{
    if (this->fetch.proven_at == timestamp{} || !this->config || this->config->accounts.empty()) {
        return std::nullopt;
    }
    const auto age = std::chrono::ceil<milliseconds>(now - this->fetch.proven_at);
    return age <= max_reported_age ? std::optional{age} : std::nullopt;
}

const std::string* config_exchange::known_document(std::uint32_t version) const
{
    if (this->config && this->config->version == version) {
        return &this->config->document;
    }
    const auto found = std::find_if(this->previous.begin(), this->previous.end(),
                                    [version](const auto& entry) { return entry.first == version; });
    return found == this->previous.end() ? nullptr : &found->second;
}

hop::Configuration config_exchange::on_request(const std::string& node,
                                               const hop::ConfigurationRequest& request, timestamp now)
{
    hop::Configuration response{};
    response.set_version(this->version());
    if (!this->config || request.have_version() >= this->config->version) {
        return response;
    }
    const auto* base = this->known_document(request.have_version());
    const auto base_version = base != nullptr ? request.have_version() : 0;
    auto found = this->compressed.find(base_version);
    if (found == this->compressed.end()) {
        auto bytes = compress_document(this->config->document, base != nullptr ? *base : std::string{});
        if (!bytes) {
            this->shared.log.write(log_level::error, event_class::state, "config", "config_not_compressed",
                                   "version={} base={} cause={}", this->config->version, base_version,
                                   log_value(bytes.last_reason()));
            return response;
        }
        found = this->compressed.emplace(base_version, std::move(*bytes)).first;
    }
    const auto size = static_cast<double>(found->second.size());
    response.set_busy(!this->send_budget.try_take(std::min(size, send_burst_bytes), now));
    if (!response.busy()) {
        response.set_compressed(found->second);
        response.set_base_version(base_version);
        response.set_digest(digest(this->config->document));
    }
    this->shared.log.write(log_level::info, event_class::state, "config",
                           response.busy() ? "config_deferred" : "config_handed_on",
                           "node={} version={} peer_version={} base={} bytes={}", node, this->config->version,
                           request.have_version(), base_version, found->second.size());
    return response;
}

result<std::string> config_exchange::restore_document(const hop::Configuration& message) const
{
    if (message.compressed().empty()) {
        return message.document();
    }
    const std::string empty{};
    const auto* base = message.base_version() == 0 ? &empty : this->known_document(message.base_version());
    if (base == nullptr) {
        return failure{"its base, version " + std::to_string(message.base_version()) + ", is not known here"};
    }
    auto document = decompress_document(message.compressed(), *base);
    if (document && digest(*document) != message.digest()) {
        return failure{"the digest of the document does not match"};
    }
    return document;
}

void config_exchange::on_response(const std::string& node, const hop::Configuration& message, timestamp now)
{
    this->observe_version(message.version(), now);
    if (message.busy()) {
        on_source_response(this->fetch, node, busy_source_delay, now);
        return;
    }
    if (message.version() <= this->version()) {
        on_source_response(this->fetch, node, microseconds{0}, now);
        return;
    }
    const auto document = this->restore_document(message);
    if (document && !document->empty()) {
        this->shared.on_document(message.version(), *document);
    }
    if (this->version() >= message.version()) {
        on_source_response(this->fetch, node, microseconds{0}, now);
        return;
    }
    on_source_response(this->fetch, node, failed_source_delay, now);
    this->shared.log.write(
        log_level::warn, event_class::state, "config", "config_not_used",
        "node={} version={} base={} bytes={} cause={}", node, message.version(), message.base_version(),
        message.compressed().size() + message.document().size(),
        log_value(document ? (document->empty() ? "no document" : "rejected") : document.last_reason()));
}

void config_exchange::on_tick(std::string_view data_centre, timestamp now)
{
    const auto source = next_source(this->fetch, this->shared.members, data_centre, now, this->shared.rng);
    if (!source) {
        return;
    }
    hop::Frame frame{};
    frame.mutable_configuration_request()->set_have_version(this->version());
    if (!this->shared.send(*source, frame)) {
        on_source_response(this->fetch, *source, busy_source_delay, now);
        return;
    }
    this->shared.log.write(log_level::info, event_class::state, "config", "config_requested",
                           "node={} version={} newest_known={} behind_ms={}", *source, this->version(),
                           this->fetch.newest_known,
                           std::chrono::duration_cast<milliseconds>(now - this->fetch.behind_since).count());
}

} // namespace kumquatdrift
