#ifndef KUMQUATDRIFT_MESH_CLIENT_ACCOUNTS_HPP
#define KUMQUATDRIFT_MESH_CLIENT_ACCOUNTS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <kumquatdrift/mesh/config.hpp>

namespace kumquatdrift {

/**
 * @brief Index of client accounts by their keys.
 *
 * Keys are found by a hash with a secret of the process, and then compared in a time that doesn't depend on
 * their content, so that the time of a search tells nothing about the keys that exist.
 */
class client_account_index {
public:
    /**
     * @brief Indexes accounts.
     * @param accounts Accounts; no key occurs twice.
     * @param secret Random seed of the hash.
     */
    client_account_index(std::vector<client_account> accounts, std::uint64_t secret);

    /**
     * @brief Finds the account that has a key.
     * @param key Key.
     * @return The account, which lives as long as the index; null if no account has the key.
     */
    [[nodiscard]] const client_account* find(std::string_view key) const noexcept;

    /*! @brief Returns the indexed accounts. */
    [[nodiscard]] const std::vector<client_account>& accounts() const noexcept
    {
        return this->indexed_accounts;
    }

    /*! @brief Returns the number of keys of all accounts. */
    [[nodiscard]] std::size_t key_count() const noexcept
    {
        return this->entries.size();
    }

private:
    struct key_entry {
        std::uint64_t hash{};
        /*! @brief Index of the account, and of the key among its keys. */
        std::uint32_t account{};
        std::uint32_t key{};
    };

    std::vector<client_account> indexed_accounts;
    std::uint64_t hash_secret;
    /*! @brief Keys in the order of their hashes. */
    std::vector<key_entry> entries{};
};

/**
 * @brief Compares two texts in a time that depends on their lengths only.
 * @param left Text.
 * @param right Text.
 * @return True if they are equal.
 */
[[nodiscard]] bool equals_in_constant_time(std::string_view left, std::string_view right) noexcept;

} // namespace kumquatdrift

#endif
