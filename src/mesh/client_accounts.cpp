#include <kumquatdrift/mesh/client_accounts.hpp>

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {

client_account_index::client_account_index(std::vector<client_account> accounts, std::uint64_t secret)
    : indexed_accounts{std::move(accounts)}, hash_secret{secret}
{
    std::size_t count{};
    for (const auto& account : this->indexed_accounts) {
        count += account.keys.size();
    }
    this->entries.reserve(count);
    for (std::uint32_t account = 0; account < this->indexed_accounts.size(); ++account) {
        const auto& keys = this->indexed_accounts[account].keys;
        for (std::uint32_t key = 0; key < keys.size(); ++key) {
            this->entries.push_back({digest(keys[key], this->hash_secret), account, key});
        }
    }
    std::sort(this->entries.begin(), this->entries.end(),
              [](const key_entry& left, const key_entry& right) { return left.hash < right.hash; });
}

const client_account* client_account_index::find(std::string_view key) const noexcept
{
    const auto hash = digest(key, this->hash_secret);
    auto entry =
        std::lower_bound(this->entries.begin(), this->entries.end(), hash,
                         [](const key_entry& each, std::uint64_t value) { return each.hash < value; });
    const client_account* found{};
    for (; entry != this->entries.end() && entry->hash == hash; ++entry) {
        const auto& account = this->indexed_accounts[entry->account];
        if (equals_in_constant_time(account.keys[entry->key], key)) {
            found = &account;
        }
    }
    return found;
}

bool equals_in_constant_time(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size()) {
        return false;
    }
    // Volatile, so that the loop isn't ended early by an optimisation.
    volatile unsigned char difference{};
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference = static_cast<unsigned char>(difference | (static_cast<unsigned char>(left[index]) ^
                                                              static_cast<unsigned char>(right[index])));
    }
    return difference == 0;
}

} // namespace kumquatdrift
