#include "support/settings_template.hpp"

#include <teaseltally/json.hpp>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace teaseltally::test {
namespace {

/// Returns a field by its path, or null if there is none.
const Json::Value& find_field(const Json::Value& fields, const std::string& path)
{
    const Json::Value* found = &fields;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        const bool is_index = std::ranges::all_of(part, [](unsigned char c) { return std::isdigit(c) != 0; });
        if (found->isObject())
            found = &(*found)[part];
        else if (found->isArray() && is_index && std::stoul(part) < found->size())
            found = &(*found)[static_cast<Json::ArrayIndex>(std::stoul(part))];
        else
            return Json::Value::nullSingleton();
    }
    return *found;
}

std::string plain_text(const Json::Value& value)
{
    if (value.isNull())
        return {};
    if (value.isObject())
        return json_text(value);
    if (!value.isArray())
        return value.asString();
    std::string text;
    for (const auto& element : value)
        text += (text.empty() ? "" : ",") + plain_text(element);
    return text;
}

} // namespace

std::string render_template(std::string_view text, const Json::Value& fields)
{
    constexpr std::string_view opening = "{{";
    constexpr std::string_view closing = "}}";
    std::string rendered;
    for (auto begin = text.find(opening); begin != std::string_view::npos; begin = text.find(opening)) {
        const auto end = text.find(closing, begin);
        if (end == std::string_view::npos)
            throw std::runtime_error("a placeholder does not end");
        const std::string path{text.substr(begin + opening.size(), end - begin - opening.size())};
        if (path.empty() || path.find_first_of("#^/|@,") != std::string::npos || path == ".")
            throw std::runtime_error("the placeholder \"" + path + "\" is not supported");
        rendered.append(text.substr(0, begin)).append(plain_text(find_field(fields, path)));
        text.remove_prefix(end + closing.size());
    }
    return rendered.append(text);
}

std::string render_settings(const Json::Value& fields)
{
    const std::ifstream file(TEASELTALLY_SETTINGS_TEMPLATE);
    if (!file)
        throw std::runtime_error("cannot open " TEASELTALLY_SETTINGS_TEMPLATE);
    std::stringstream text;
    text << file.rdbuf();
    return render_template(text.str(), fields);
}

Json::Value example_fields()
{
    return std::get<Json::Value>(parse_json(R"({
        "node-name": "front-a-1", "role": "entry", "zone": "a", "ip": "10.0.0.1",
        "internal-port-range": [82, 97], "seeds": [], "heartbeat": "870ms",
        "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
        "limits": {"cpu-share": 1, "cores": 1, "memory-mb": 260, "max-fds": 4096},
        "provider": {"address": "10.0.0.9:1", "form": "log"},
        "bounds": {"seed-lag": "3s", "stable-window": "3000ms", "drain": "2000ms", "grace": "6s",
                   "config-apply": "2000ms", "retry-budget-ratio": 0.2, "budget-window": "10s",
                   "budget-slack": 50, "hold-max": "10000ms", "thaw": "300ms"}})",
                                            "fields"));
}

} // namespace teaseltally::test
