#include "account_access.hpp"

#include <algorithm>
#include <cctype>
#include <optional>

namespace kumquatdrift {
namespace {

constexpr std::string_view bearer_scheme = "Bearer";

/*! @brief Compares names of header fields as programs do that take an underscore for a hyphen. */
bool may_be_taken_for(std::string_view name, std::string_view other) noexcept
{
    const auto folded = [](char letter) {
        return letter == '_' ? '-' : std::tolower(static_cast<unsigned char>(letter));
    };
    return std::equal(name.begin(), name.end(), other.begin(), other.end(),
                      [&](char left, char right) { return folded(left) == folded(right); });
}

/*! @brief What a request presents as its key. */
struct presented_key {
    /*! @brief Key; nothing if the request presents none. */
    std::optional<std::string_view> key{};
    /*! @brief True if there are several credentials, or some with a misspelt name. */
    bool ambiguous{};
};

presented_key find_key(const http_fields& fields, std::string_view name)
{
    presented_key presented{};
    std::string_view value{};
    auto found = 0;
    for (const auto& field : fields) {
        if (may_be_taken_for(field.name, name)) {
            ++found;
            presented.ambiguous = found > 1 || !equals_ignore_case(field.name, name);
            value = field.value;
        }
    }
    const auto end = std::min(value.find(' '), value.size());
    if (presented.ambiguous || !equals_ignore_case(value.substr(0, end), bearer_scheme)) {
        return presented;
    }
    value.remove_prefix(std::min(value.find_first_not_of(' ', end), value.size()));
    presented.key = value;
    return presented;
}

/*! @brief Checks whether the configuration in force is known to be the newest, so that a key which it lacks
 *         doesn't exist. */
bool has_newest_configuration(const access_context& context) noexcept
{
    return context.routes_confirmed && !is_behind(context.versions) &&
           is_confirmed(context.versions, context.now);
}

} // namespace

account_access::account_access(const wire_headers& names, metrics_registry& registry, event_log& output,
                               std::uint64_t secret)
    : headers{names}, log{output}, hash_secret{secret}, index{std::make_unique<client_account_index>(
                                                            std::vector<client_account>{}, secret)}
{
    registry.add_gauge_callback("gateway_client_accounts", "Client accounts of the configuration in force",
                                [this] { return static_cast<double>(this->index->accounts().size()); });
    registry.add_gauge_callback("gateway_client_keys", "Keys of all client accounts",
                                [this] { return static_cast<double>(this->index->key_count()); });
}

void account_access::set_config(const mesh_config& config)
{
    if (config.accounts == this->index->accounts()) {
        return;
    }
    const auto before = this->index->key_count();
    this->index = std::make_unique<client_account_index>(config.accounts, this->hash_secret);
    this->log.write(log_level::info, event_class::state, "access", "accounts_in_force",
                    "version={} accounts={} keys={} keys_before={}", config.version,
                    this->index->accounts().size(), this->index->key_count(), before);
}

access_decision account_access::decide(const http_fields& fields, const mesh_route& route, bool is_orphan,
                                       const access_context& context) const
{
    if (this->index->accounts().empty()) {
        return {};
    }
    const auto presented = find_key(fields, this->headers.credentials);
    if (!presented.key && !presented.ambiguous) {
        if (route.anonymous) {
            return {};
        }
        if (is_orphan) {
            // Nested calls carry no key. The request for which this one is made has ended, or was running
            // when this node started.
            return {503, "parent_not_running"};
        }
    }
    const auto* account = presented.key ? this->index->find(*presented.key) : nullptr;
    if (account != nullptr) {
        const auto valid = !context.revocation.strict ||
                           are_keys_valid(context.versions, context.revocation.bound, context.now);
        return valid ? access_decision{0, {}, account} : access_decision{503, "keys_unproven"};
    }
    if (presented.ambiguous) {
        return {401, "key_ambiguous"};
    }
    // A newer configuration may have the key, or ask for none.
    if (!has_newest_configuration(context)) {
        return {503, is_behind(context.versions) ? "configuration_behind" : "configuration_unconfirmed"};
    }
    return {401, presented.key ? "key_unknown" : "key_missing"};
}

std::vector<std::string> account_access::withheld_fields(const http_fields& fields) const
{
    std::vector<std::string> names{};
    const auto withholds_credentials = !this->index->accounts().empty();
    for (const auto& field : fields) {
        if (may_be_taken_for(field.name, this->headers.client_account) ||
            (withholds_credentials && may_be_taken_for(field.name, this->headers.credentials))) {
            names.push_back(field.name);
        }
    }
    return names;
}

} // namespace kumquatdrift
