#include "framecodec.h"

#include "daisyrelay/wire.h"

#include <sodium.h>

namespace daisyrelay {

static constexpr std::string_view KeyContext = "daisyrelay peer frame 1";
static constexpr unsigned BitsPerByte = 8;

static const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

FrameCodec::FrameCodec(const std::string &secret)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, key_.size());
    crypto_generichash_update(&state, bytesOf(KeyContext), KeyContext.size());
    crypto_generichash_update(&state, bytesOf(secret), secret.size());
    crypto_generichash_final(&state, key_.data(), key_.size());
}

std::string FrameCodec::encode(const std::string &body) const
{
    const std::size_t size = TagBytes + body.size();
    std::string frame;
    frame.reserve(LengthBytes + size);
    for (std::size_t byte = 0; byte < LengthBytes; ++byte) {
        frame.push_back(static_cast<char>((size >> (BitsPerByte * byte)) & 0xff));
    }
    frame += tagOf(body);
    frame += body;
    return frame;
}

Expected<std::size_t> FrameCodec::payloadSize(const std::array<unsigned char, LengthBytes> &length)
{
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < LengthBytes; ++byte) {
        size |= static_cast<std::size_t>(length[byte]) << (BitsPerByte * byte);
    }
    if (size <= TagBytes || size > LargestPeerMessage + TagBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame size out of bounds" });
    }
    return size;
}

Expected<std::string_view> FrameCodec::open(std::string_view payload) const
{
    if (payload.size() <= TagBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame too short" });
    }
    const std::string_view body = payload.substr(TagBytes);
    if (sodium_memcmp(tagOf(body).data(), payload.data(), TagBytes) != 0) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame was not signed with the shared key" });
    }
    return body;
}

std::string FrameCodec::tagOf(std::string_view body) const
{
    std::string tag(TagBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(tag.data()), tag.size(), bytesOf(body), body.size(),
        key_.data(), key_.size());
    return tag;
}

} // namespace daisyrelay
