// A hash that is the same in all processes and versions.
#pragma once

#include <cstdint>
#include <string_view>

namespace daisyrelay {

/// Returns the FNV-1a hash of \p text.
constexpr std::uint64_t stableHash(std::string_view text)
{
    constexpr std::uint64_t Basis = 14695981039346656037ULL; // FNV-1a offset basis.
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Basis;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
    }
    return hash;
}

/// Combines two hashes so that all bits of both affect the high bits of the result. Ranking candidates by it gives each
/// key an order of its own (rendezvous hashing).
constexpr std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right)
{
    constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL; // 2^64 divided by the golden ratio.
    constexpr unsigned HalfBits = 32;
    const std::uint64_t mixed = (left ^ right) * Multiplier;
    return (mixed ^ (mixed >> HalfBits)) * Multiplier;
}

} // namespace daisyrelay
