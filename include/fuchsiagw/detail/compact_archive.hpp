/// @file
/// @brief Compact binary archives for cereal.
///
/// Integers of more than one byte are written as variable-length groups of 7 bits, least
/// significant first; signed ones are zigzag-encoded, with the sign in the lowest bit. This saves
/// bandwidth, since control traffic is bounded and most numbers in it are small. cereal's own input
/// archives allocate the size in a length field before they read the elements. compact_input checks
/// every length against the remaining bytes and appends list elements one by one, so that a damaged
/// message can't cause a large allocation.

#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace fuchsiagw::detail {

/// Bound on the elements of all lists of one message. It limits memory, since a string that is one
/// byte in a message takes 32 bytes of memory.
inline constexpr std::size_t maxListElements = 262'144;

class compact_output : public cereal::OutputArchive<compact_output, cereal::AllowEmptyClassElision>
{
public:
    compact_output()
        : cereal::OutputArchive<compact_output, cereal::AllowEmptyClassElision>(this)
    { }

    void putByte(std::uint8_t byte) { bytes_.push_back(static_cast<char>(byte)); }
    void putNumber(std::uint64_t number)
    {
        for (; number > 0x7fU; number >>= 7U)
            putByte(static_cast<std::uint8_t>(number | 0x80U));
        putByte(static_cast<std::uint8_t>(number));
    }
    void putBytes(std::string_view bytes) { bytes_ += bytes; }

    [[nodiscard]] std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads from memory. Throws cereal::Exception on malformed input; callers convert it to an error
/// code.
class compact_input : public cereal::InputArchive<compact_input, cereal::AllowEmptyClassElision>
{
public:
    explicit compact_input(std::string_view bytes)
        : cereal::InputArchive<compact_input, cereal::AllowEmptyClassElision>(this)
        , rest_(bytes)
    { }

    [[nodiscard]] std::uint8_t takeByte()
    {
        return static_cast<std::uint8_t>(takeBytes(1).front());
    }
    /// Accepts only the shortest encoding of a number.
    [[nodiscard]] std::uint64_t takeNumber()
    {
        std::uint64_t number = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            const std::uint64_t byte = takeByte();
            const std::uint64_t group = byte & 0x7fU;
            const bool isLast = byte < 0x80U;
            if ((shift == 63 && group > 1) || (isLast && group == 0 && shift > 0))
                break;
            number |= group << shift;
            if (isLast)
                return number;
        }
        throw cereal::Exception("not a number");
    }
    [[nodiscard]] std::string_view takeBytes(std::size_t size)
    {
        if (size > rest_.size())
            throw cereal::Exception("message too short");
        const std::string_view taken = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return taken;
    }
    /// Counts a list element against maxListElements.
    void countElement()
    {
        if (++elements_ > maxListElements)
            throw cereal::Exception("too many elements");
    }

    [[nodiscard]] std::string_view rest() const { return rest_; }

private:
    std::string_view rest_;
    std::size_t elements_ = 0;
};

template <typename type>
requires std::is_integral_v<type>
void save(compact_output &archive, const type &value)
{
    if constexpr (sizeof(type) == 1) {
        archive.putByte(static_cast<std::uint8_t>(value));
    } else if constexpr (std::is_signed_v<type>) {
        const auto wide = static_cast<std::int64_t>(value);
        archive.putNumber((static_cast<std::uint64_t>(wide) << 1U)
                          ^ static_cast<std::uint64_t>(wide >> 63));
    } else {
        archive.putNumber(value);
    }
}

template <typename type>
requires std::is_integral_v<type>
void load(compact_input &archive, type &value)
{
    if constexpr (std::is_same_v<type, bool>) {
        const std::uint8_t byte = archive.takeByte();
        if (byte > 1)
            throw cereal::Exception("not a truth value");
        value = byte == 1;
    } else if constexpr (sizeof(type) == 1) {
        value = static_cast<type>(archive.takeByte());
    } else {
        const std::uint64_t number = archive.takeNumber();
        if constexpr (std::is_signed_v<type>) {
            const auto wide = static_cast<std::int64_t>((number >> 1U) ^ (~(number & 1U) + 1U));
            if (wide < std::numeric_limits<type>::min() || wide > std::numeric_limits<type>::max())
                throw cereal::Exception("number out of range");
            value = static_cast<type>(wide);
        } else {
            if (number > std::numeric_limits<type>::max())
                throw cereal::Exception("number out of range");
            value = static_cast<type>(number);
        }
    }
}

template <typename type>
void save(compact_output &archive, const cereal::NameValuePair<type> &pair)
{
    archive(pair.value);
}

template <typename type>
void load(compact_input &archive, cereal::NameValuePair<type> &pair)
{
    archive(pair.value);
}

template <typename type>
void save(compact_output &archive, const cereal::SizeTag<type> &tag)
{
    archive.putNumber(tag.size);
}

template <typename type>
void load(compact_input &archive, cereal::SizeTag<type> &tag)
{
    const std::uint64_t size = archive.takeNumber();
    // Every element takes at least one byte.
    if (size > archive.rest().size())
        throw cereal::Exception("length beyond the end of the message");
    tag.size = size;
}

// BinaryData is used for text only; lists of numbers are written element by element, see below.
template <typename type>
void save(compact_output &archive, const cereal::BinaryData<type> &data)
{
    static_assert(sizeof(std::remove_pointer_t<type>) == 1);
    archive.putBytes({ static_cast<const char *>(data.data), data.size });
}

template <typename type>
void load(compact_input &archive, cereal::BinaryData<type> &data)
{
    static_assert(sizeof(std::remove_pointer_t<type>) == 1);
    const std::string_view bytes = archive.takeBytes(data.size);
    if (!bytes.empty())
        std::memcpy(data.data, bytes.data(), bytes.size());
}

} // namespace fuchsiagw::detail

namespace cereal {

template <typename type, typename allocator>
void save(fuchsiagw::detail::compact_output &archive, const std::vector<type, allocator> &list)
{
    archive(make_size_tag(static_cast<size_type>(list.size())));
    for (const type &each : list)
        archive(each);
}

template <typename type, typename allocator>
void load(fuchsiagw::detail::compact_input &archive, std::vector<type, allocator> &list)
{
    size_type size = 0;
    archive(make_size_tag(size));
    list.clear();
    for (size_type i = 0; i < size; ++i) {
        archive.countElement();
        list.emplace_back();
        archive(list.back());
    }
}

} // namespace cereal

CEREAL_SETUP_ARCHIVE_TRAITS(fuchsiagw::detail::compact_input, fuchsiagw::detail::compact_output)
