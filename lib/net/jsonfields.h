// Reads the typed fields of one JSON object and reports the first that is wrong.
#pragma once

#include "daisyrelay/base.h"

#include <initializer_list>
#include <limits>
#include <string>

#include <boost/json.hpp>

namespace daisyrelay {

/// Remembers the first error; later reads return defaults.
class JsonFields
{
public:
    /// \param allowed All fields that the object may have.
    JsonFields(const std::string &text, std::initializer_list<std::string_view> allowed);

    std::string readString(std::string_view key);
    std::string requireString(std::string_view key);
    bool readBool(std::string_view key, bool fallback);
    std::uint64_t readNumber(std::string_view key, std::uint64_t fallback, std::uint64_t maxValue);
    std::uint64_t requireNumber(
        std::string_view key, std::uint64_t maxValue = std::numeric_limits<std::int64_t>::max());

    /// Returns any value as JSON text; "null" if it is absent.
    std::string rawJson(std::string_view key);

    void fail(std::string_view key, const std::string &message);

    /// Returns \p value, or ErrorKind::BadRequest naming the wrong field.
    template <typename T>
    Expected<T> finish(T value) const
    {
        if (!error_.empty()) {
            return tl::unexpected(Error { ErrorKind::BadRequest, error_ });
        }
        return value;
    }

private:
    boost::json::object object_;
    std::string error_;
};

} // namespace daisyrelay
