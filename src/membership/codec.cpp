#include <membership/codec.hpp>

#include <algorithm>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/membership/announcements.hpp>

namespace kumquatdrift::internal {
namespace {

constexpr unsigned port_bits = 16;
constexpr std::uint64_t port_mask = 0xFFFF;
constexpr std::uint32_t max_slots = 100'000;

std::uint64_t pack_ports(const member_record& record) noexcept
{
    std::uint64_t packed = record.caller_port;
    packed = (packed << port_bits) | record.gossip_port;
    packed = (packed << port_bits) | record.control_port;
    return (packed << port_bits) | record.peer_port;
}

std::uint16_t port_at(std::uint64_t packed, unsigned position) noexcept
{
    return static_cast<std::uint16_t>((packed >> (position * port_bits)) & port_mask);
}

// Names are written to logs, headers and JSON. Printable ASCII without spaces is safe in all of them.
bool is_valid_name(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

std::optional<target_record> target_from_wire(const wire::target& message)
{
    const bool valid = is_valid_name(message.id()) && is_valid_name(message.service()) &&
                       message.slots() >= 1 && message.slots() <= max_slots &&
                       message.state() <= static_cast<std::uint32_t>(target_state::draining);
    if (!valid) {
        return std::nullopt;
    }
    target_record target;
    target.id = message.id();
    target.service = message.service();
    target.slots = message.slots();
    target.state = static_cast<target_state>(message.state());
    return target;
}

bool is_valid(const wire::record& message)
{
    return is_valid_name(message.node()) && is_valid_name(message.data_centre()) &&
           message.start_time() > 0 && message.start_time() <= max_sequence &&
           message.sequence() > message.version_changes() && message.sequence() <= max_sequence &&
           is_valid_name(message.ip()) && message.state() <= static_cast<std::uint32_t>(member_state::left) &&
           message.targets_size() <= static_cast<int>(max_targets) &&
           message.ByteSizeLong() <= max_record_bytes;
}

} // namespace

std::uint64_t key_of(std::string_view node) noexcept
{
    return digest(node);
}

std::uint64_t identity_of(std::string_view node, std::uint64_t start_time) noexcept
{
    return digest(node, start_time);
}

std::uint32_t data_centre_digest(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(digest(name));
}

wire::record to_wire(const member& known)
{
    const auto& record = known.record;
    wire::record message;
    message.set_node(record.node);
    message.set_data_centre(record.data_centre);
    message.set_start_time(record.start_time);
    message.set_sequence(record.sequence);
    message.set_version_changes(static_cast<std::uint32_t>(record.sequence - known.base_sequence));
    message.set_ip(record.ip);
    message.set_ports(pack_ports(record));
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_version(record.version);
    if (known.earlier_version > record.version) {
        message.set_earlier_version(known.earlier_version);
    }
    message.set_dead(known.status == member_status::dead);
    for (const auto& target : record.targets) {
        auto* item = message.add_targets();
        item->set_id(target.id);
        item->set_service(target.service);
        item->set_slots(target.slots);
        item->set_state(static_cast<std::uint32_t>(target.state));
    }
    return message;
}

std::optional<decoded_record> from_wire(const wire::record& message)
{
    if (!is_valid(message)) {
        return std::nullopt;
    }
    decoded_record decoded;
    auto& record = decoded.record;
    record.node = message.node();
    record.data_centre = message.data_centre();
    record.start_time = message.start_time();
    record.sequence = message.sequence();
    decoded.dead = message.dead();
    decoded.earlier_version = message.earlier_version();
    decoded.base_sequence = message.sequence() - message.version_changes();
    record.ip = message.ip();
    record.peer_port = port_at(message.ports(), 0);
    record.control_port = port_at(message.ports(), 1);
    record.gossip_port = port_at(message.ports(), 2);
    record.caller_port = port_at(message.ports(), 3);
    record.state = static_cast<member_state>(message.state());
    record.version = message.version();
    for (const auto& item : message.targets()) {
        auto target = target_from_wire(item);
        if (!target) {
            return std::nullopt;
        }
        record.targets.push_back(std::move(*target));
    }
    return decoded;
}

} // namespace kumquatdrift::internal
