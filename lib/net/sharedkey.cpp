#include "sharedkey.h"

#include <sodium.h>

namespace daisyrelay {

static const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

SharedKey::SharedKey(std::string_view context, std::string_view secret)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, key_.size());
    crypto_generichash_update(&state, bytesOf(context), context.size());
    crypto_generichash_update(&state, bytesOf(secret), secret.size());
    crypto_generichash_final(&state, key_.data(), key_.size());
}

SharedKey SharedKey::derive(std::string_view context) const
{
    return { context, { reinterpret_cast<const char *>(key_.data()), key_.size() } };
}

std::string SharedKey::computeTag(std::string_view prefix, std::string_view body) const
{
    std::string tag(TagBytes, '\0');
    crypto_generichash_state state;
    crypto_generichash_init(&state, key_.data(), key_.size(), tag.size());
    crypto_generichash_update(&state, bytesOf(prefix), prefix.size());
    crypto_generichash_update(&state, bytesOf(body), body.size());
    crypto_generichash_final(&state, reinterpret_cast<unsigned char *>(tag.data()), tag.size());
    return tag;
}

bool SharedKey::verifyTag(std::string_view tag, std::string_view prefix, std::string_view body) const
{
    return tag.size() == TagBytes && sodium_memcmp(computeTag(prefix, body).data(), tag.data(), TagBytes) == 0;
}

} // namespace daisyrelay
