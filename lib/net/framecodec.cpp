#include "framecodec.h"

#include "daisyrelay/wire.h"

#include <sodium.h>

namespace daisyrelay {

static constexpr unsigned BitsPerByte = 8;
static constexpr char Separator = '\0';

static std::string littleEndianBytes(std::uint64_t number, std::size_t count)
{
    std::string bytes;
    for (std::size_t byte = 0; byte < count; ++byte) {
        bytes.push_back(static_cast<char>((number >> (BitsPerByte * byte)) & 0xff));
    }
    return bytes;
}

static std::string makeFrame(const std::string &tag, std::string_view body)
{
    std::string frame = littleEndianBytes(tag.size() + body.size(), FrameCodec::LengthBytes);
    frame += tag;
    frame += body;
    return frame;
}

FrameSession::FrameSession(SharedKey key) : key_(key)
{
}

std::string FrameSession::nextPrefix()
{
    return "frame" + littleEndianBytes(sequence_++, sizeof(sequence_));
}

std::string FrameSession::seal(std::string_view body)
{
    return makeFrame(key_.computeTag(nextPrefix(), body), body);
}

Expected<std::string_view> FrameSession::open(std::string_view payload)
{
    if (payload.size() <= FrameCodec::TagBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame too short" });
    }
    const std::string_view body = payload.substr(FrameCodec::TagBytes);
    if (!key_.verifyTag(payload.substr(0, FrameCodec::TagBytes), nextPrefix(), body)) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame was not signed for this connection and place" });
    }
    return body;
}

std::string FrameSession::confirmation() const
{
    return key_.computeTag("confirm", "");
}

FrameCodec::FrameCodec(const std::string &secret) : key_("daisyrelay peer frame 2", secret)
{
}

std::string FrameCodec::randomNonce()
{
    std::string nonce(NonceBytes, '\0');
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

static std::string helloBody(const PeerHello &hello)
{
    return hello.nonce + hello.from.value + Separator + hello.to.value;
}

std::string FrameCodec::sealHello(const PeerHello &hello, std::string_view challenge) const
{
    const std::string body = helloBody(hello);
    return makeFrame(key_.computeTag("hello" + std::string(challenge), body), body);
}

Expected<PeerHello> FrameCodec::openHello(std::string_view payload, std::string_view challenge) const
{
    if (payload.size() <= TagBytes + NonceBytes || payload.size() > MaxHelloBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "hello of a wrong size" });
    }
    const std::string_view body = payload.substr(TagBytes);
    if (!key_.verifyTag(payload.substr(0, TagBytes), "hello" + std::string(challenge), body)) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "hello was not signed with the shared key" });
    }
    const std::string_view names = body.substr(NonceBytes);
    const std::size_t separator = names.find(Separator);
    if (separator == std::string_view::npos) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "hello without names" });
    }
    return PeerHello { VmId { std::string(names.substr(0, separator)) },
        VmId { std::string(names.substr(separator + 1)) }, std::string(body.substr(0, NonceBytes)) };
}

FrameSession FrameCodec::session(const PeerHello &hello, std::string_view challenge) const
{
    return FrameSession(key_.derive("connection" + std::string(challenge) + helloBody(hello)));
}

Expected<std::size_t> FrameCodec::payloadSize(const std::array<unsigned char, LengthBytes> &length)
{
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < LengthBytes; ++byte) {
        size |= static_cast<std::size_t>(length[byte]) << (BitsPerByte * byte);
    }
    if (size <= TagBytes || size > MaxPeerMessageBytes + TagBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "frame size out of bounds" });
    }
    return size;
}

} // namespace daisyrelay
