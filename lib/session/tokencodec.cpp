#include "daisyrelay/session/tokencodec.h"

#include <optional>

#include <sodium.h>

namespace daisyrelay {

static constexpr char TokenVersion = 1;
static constexpr std::size_t TagBytes = 16;
static constexpr std::size_t MaxTokenChars = 4096;
static constexpr std::size_t MaxNameBytes = 255;
static constexpr std::string_view KeyContext = "daisyrelay session token 1";

static void appendVarint(std::string &out, std::uint64_t value)
{
    constexpr std::uint64_t PayloadMask = 0x7f;
    constexpr int PayloadBits = 7;
    while (value > PayloadMask) {
        out.push_back(static_cast<char>((value & PayloadMask) | (PayloadMask + 1)));
        value >>= PayloadBits;
    }
    out.push_back(static_cast<char>(value));
}

static void appendName(std::string &out, const std::string &name)
{
    appendVarint(out, name.size());
    out += name;
}

static std::optional<std::uint64_t> readVarint(std::string_view &in)
{
    constexpr unsigned PayloadMask = 0x7f;
    constexpr int PayloadBits = 7;
    constexpr int LastShift = 63;
    std::uint64_t value = 0;
    for (int shift = 0; shift <= LastShift && !in.empty(); shift += PayloadBits) {
        const auto byte = static_cast<unsigned char>(in.front());
        in.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & PayloadMask) << shift;
        if (byte <= PayloadMask) {
            return value;
        }
    }
    return std::nullopt;
}

static std::optional<std::string> readName(std::string_view &in)
{
    const std::optional<std::uint64_t> size = readVarint(in);
    if (!size || *size > MaxNameBytes || *size > in.size()) {
        return std::nullopt;
    }
    std::string name(in.substr(0, *size));
    in.remove_prefix(*size);
    return name;
}

static std::string computeTag(std::string_view body, const unsigned char *key, std::size_t keyBytes)
{
    std::string tag(TagBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(tag.data()), tag.size(),
        reinterpret_cast<const unsigned char *>(body.data()), body.size(), key, keyBytes);
    return tag;
}

static std::string toBase64(const std::string &bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    text.pop_back(); // Removes the terminating zero that libsodium writes.
    return text;
}

static std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const int status = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(), text.data(),
        text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    if (status != 0) {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

static std::optional<SessionToken> parseBody(std::string_view body)
{
    SessionToken token;
    while (!body.empty()) {
        std::optional<std::string> service = readName(body);
        std::optional<std::string> group = readName(body);
        const std::optional<std::uint64_t> term = readVarint(body);
        const std::optional<std::uint64_t> position = readVarint(body);
        if (!service || !group || !term || !position) {
            return std::nullopt;
        }
        token.raisePoint({ ServiceId { std::move(*service) }, GroupId { std::move(*group) } }, { *term, *position });
    }
    return token;
}

TokenCodec::TokenCodec(const std::string &secret)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, key_.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(KeyContext.data()), KeyContext.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(secret.data()), secret.size());
    crypto_generichash_final(&state, key_.data(), key_.size());
}

std::string TokenCodec::encode(const SessionToken &token) const
{
    std::string body(1, TokenVersion);
    for (const auto &[group, point] : token.points) {
        appendName(body, group.service.value);
        appendName(body, group.group.value);
        appendVarint(body, point.term);
        appendVarint(body, point.position);
    }
    return toBase64(body + computeTag(body, key_.data(), key_.size()));
}

Expected<SessionToken> TokenCodec::decode(std::string_view text) const
{
    if (text.size() > MaxTokenChars) {
        return tl::unexpected(Error { ErrorKind::BadToken, "session token is too long" });
    }
    const std::optional<std::string> bytes = fromBase64(text);
    if (!bytes || bytes->size() <= TagBytes) {
        return tl::unexpected(Error { ErrorKind::BadToken, "session token is malformed" });
    }
    const std::string_view body = std::string_view(*bytes).substr(0, bytes->size() - TagBytes);
    const std::string tag = computeTag(body, key_.data(), key_.size());
    if (sodium_memcmp(tag.data(), bytes->data() + body.size(), TagBytes) != 0) {
        return tl::unexpected(
            Error { ErrorKind::BadToken, "session token was not signed with the key of this system" });
    }
    if (body.front() != TokenVersion) {
        return tl::unexpected(Error { ErrorKind::BadToken, "session token has an unknown version" });
    }
    std::optional<SessionToken> token = parseBody(body.substr(1));
    if (!token) {
        return tl::unexpected(Error { ErrorKind::BadToken, "session token is malformed" });
    }
    return std::move(*token);
}

} // namespace daisyrelay
