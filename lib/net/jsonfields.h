// Typed access to the fields of a JSON object.
#pragma once

#include "daisyrelay/base.h"

#include <initializer_list>
#include <limits>
#include <string>

#include <boost/json.hpp>

namespace daisyrelay {

/// Records the first error; invalid fields return their fallback or an empty value.
class JsonFields
{
public:
    /// \param allowed Names of all fields that the object may have; others are errors.
    JsonFields(const std::string &text, std::initializer_list<std::string_view> allowed);

    /// Returns a string; empty if the field is absent or null.
    std::string readString(std::string_view key);
    /// Returns a string that must not be empty.
    std::string requireString(std::string_view key);
    /// Returns a boolean, or \p fallback if the field is absent.
    bool readBool(std::string_view key, bool fallback);
    /// Returns an integer from 0 to \p maxValue, or \p fallback if the field is absent.
    std::uint64_t readNumber(std::string_view key, std::uint64_t fallback, std::uint64_t maxValue);
    /// Returns a required integer from 0 to \p maxValue.
    std::uint64_t requireNumber(
        std::string_view key, std::uint64_t maxValue = std::numeric_limits<std::int64_t>::max());

    /// Returns the value of a field as JSON text; "null" if it is absent.
    std::string rawJson(std::string_view key);

    /// Records an error of the field \p key unless an error was recorded before.
    void fail(std::string_view key, const std::string &message);

    /// Returns \p value, or ErrorKind::BadRequest with the recorded error.
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
