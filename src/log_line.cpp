#include <teaseltally/log_line.hpp>

namespace teaseltally {

log_line& log_line::add(std::string_view key, std::string_view value)
{
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string_view::npos) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            text_ += '\\';
        text_ += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    text_ += '"';
    return *this;
}

} // namespace teaseltally
