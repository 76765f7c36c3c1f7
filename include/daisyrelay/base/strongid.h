// Strongly typed string identifiers.
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace daisyrelay {

/// A string whose type depends on \p Tag, so that identifiers of different kinds do not convert to each other.
template <typename Tag>
struct StrongId {
    std::string value;

    auto operator<=>(const StrongId &) const = default;

    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }
};

} // namespace daisyrelay

template <typename Tag>
struct std::hash<daisyrelay::StrongId<Tag>> {
    std::size_t operator()(const daisyrelay::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
