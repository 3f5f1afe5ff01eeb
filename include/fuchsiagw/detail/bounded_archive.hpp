/// @file
/// @brief Reads cereal's portable binary format from memory and never beyond its end.
///
/// cereal's own input archive allocates what a length field claims before it reads. This one checks
/// every length against the bytes that are left and lets lists grow element by element, so that a
/// damaged message can't cause a large allocation.

#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace fuchsiagw::detail {

/// Throws cereal::Exception where the input does not fit; callers turn it into an error code.
class bounded_archive : public cereal::InputArchive<bounded_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_archive, cereal::AllowEmptyClassElision>(this)
        , rest_(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        load(&isLittleEndian, 1, 1);
        if (isLittleEndian != 1)
            throw cereal::Exception("unknown byte order");
    }

    /// Copies @p size bytes that consist of numbers of @p width bytes.
    void load(void *target, std::size_t size, std::size_t width)
    {
        if (size > rest_.size())
            throw cereal::Exception("message too short");
        auto *bytes = static_cast<char *>(target);
        if (size > 0)
            std::memcpy(bytes, rest_.data(), size);
        rest_.remove_prefix(size);
        if constexpr (std::endian::native == std::endian::big) {
            for (std::size_t at = 0; at < size; at += width)
                std::reverse(bytes + at, bytes + at + width);
        }
    }

    [[nodiscard]] std::size_t left() const { return rest_.size(); }

private:
    std::string_view rest_;
};

template <typename type>
requires std::is_arithmetic_v<type>
void load(bounded_archive &archive, type &value)
{
    if constexpr (std::is_same_v<type, bool>) {
        std::uint8_t byte = 0;
        archive.load(&byte, 1, 1);
        if (byte > 1)
            throw cereal::Exception("not a truth value");
        value = byte == 1;
    } else {
        archive.load(&value, sizeof(type), sizeof(type));
    }
}

template <typename type>
void load(bounded_archive &archive, cereal::NameValuePair<type> &pair)
{
    archive(pair.value);
}

template <typename type>
void load(bounded_archive &archive, cereal::SizeTag<type> &tag)
{
    archive(tag.size);
    // Every element takes at least one byte.
    if (tag.size > archive.left())
        throw cereal::Exception("length beyond the end of the message");
}

template <typename type>
void load(bounded_archive &archive, cereal::BinaryData<type> &data)
{
    archive.load(data.data, data.size, sizeof(std::remove_pointer_t<type>));
}

} // namespace fuchsiagw::detail

namespace cereal {

template <typename type, typename allocator>
void load(fuchsiagw::detail::bounded_archive &archive, std::vector<type, allocator> &list)
{
    size_type size = 0;
    archive(make_size_tag(size));
    list.clear();
    for (size_type i = 0; i < size; ++i) {
        list.emplace_back();
        archive(list.back());
    }
}

/// cereal loads enumerations through the archive that wrote them.
template <>
struct traits::detail::get_output_from_input<fuchsiagw::detail::bounded_archive>
{
    using type = PortableBinaryOutputArchive;
};

} // namespace cereal
