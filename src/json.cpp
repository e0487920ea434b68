#include <teaseltally/json.hpp>

#include <array>
#include <bit>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace teaseltally {

result<Json::Value> parse_json(std::string_view text, std::string_view source)
{
    static const auto builder = [] {
        Json::CharReaderBuilder settings;
        Json::CharReaderBuilder::strictMode(&settings.settings_);
        return settings;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string parse_errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &parse_errors))
            return value;
    }
    catch (const Json::Exception& exception) {
        parse_errors = exception.what();
    }
    return error{result_code::message_malformed, "invalid JSON: " + shortened(std::move(parse_errors)),
                 std::string{source}};
}

std::string shortened(std::string message)
{
    constexpr std::size_t max_bytes = 1000;
    if (message.size() > max_bytes)
        message.replace(max_bytes, std::string::npos, "...");
    return message;
}

std::string json_text(const Json::Value& value)
{
    static const auto builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        return settings;
    }();
    return Json::writeString(builder, value);
}

bool is_utf8(std::string_view text) noexcept
{
    constexpr std::uint32_t first_surrogate = 0xd800;
    constexpr std::uint32_t last_surrogate = 0xdfff;
    constexpr std::uint32_t last_code_point = 0x10ffff;
    /// Lowest code points that need one, two and three bytes after the first.
    constexpr std::array<std::uint32_t, 3> lowest{0x80, 0x800, 0x10000};
    for (std::size_t at = 0; at < text.size();) {
        const auto first = static_cast<unsigned char>(text[at++]);
        const auto ones = static_cast<std::size_t>(std::countl_one(first));
        if (ones == 0)
            continue;
        if (ones == 1 || ones > lowest.size() + 1 || text.size() - at < ones - 1)
            return false;
        std::uint32_t code_point = first & (0x7fU >> ones);
        for (std::size_t rest = ones - 1; rest > 0; --rest) {
            const auto byte = static_cast<unsigned char>(text[at++]);
            if (std::countl_one(byte) != 1)
                return false;
            code_point = code_point << 6U | (byte & 0x3fU);
        }
        if (code_point < lowest.at(ones - 2) || code_point > last_code_point ||
            (code_point >= first_surrogate && code_point <= last_surrogate))
            return false;
    }
    return true;
}

json_reader::json_reader(const Json::Value& value, std::string_view source) : value_(value), source_(source)
{
    if (!value.isObject()) {
        has_error_ = true;
        first_error_ = {result_code::message_malformed, "expected a JSON object", source_};
    }
}

const Json::Value& json_reader::member(const char* key) const
{
    return value_.isObject() ? value_[key] : Json::Value::nullSingleton();
}

std::uint64_t json_reader::unsigned_at(const char* key)
{
    const Json::Value& found = member(key);
    if (found.isUInt64())
        return found.asUInt64();
    set_error(key, "an unsigned integer");
    return 0;
}

std::string json_reader::string_at(const char* key)
{
    const Json::Value& found = member(key);
    if (found.isString())
        return found.asString();
    set_error(key, "a string");
    return {};
}

bool json_reader::bool_at(const char* key)
{
    const Json::Value& found = member(key);
    if (found.isBool())
        return found.asBool();
    set_error(key, "true or false");
    return false;
}

const Json::Value& json_reader::array_at(const char* key)
{
    static const Json::Value empty(Json::arrayValue);
    const Json::Value& found = member(key);
    if (found.isArray())
        return found;
    set_error(key, "an array");
    return empty;
}

const Json::Value& json_reader::object_at(const char* key)
{
    static const Json::Value empty(Json::objectValue);
    const Json::Value& found = member(key);
    if (found.isObject())
        return found;
    set_error(key, "an object");
    return empty;
}

void json_reader::set_error(const char* key, std::string_view expected)
{
    if (has_error_)
        return;
    has_error_ = true;
    first_error_ = {result_code::message_malformed,
                    "field \"" + std::string{key} + "\": expected " + std::string{expected}, source_};
}

} // namespace teaseltally
