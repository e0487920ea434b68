#include <teaseltally/configuration.hpp>

#include <doctest/doctest.h>

using namespace teaseltally;

namespace {

constexpr auto valid_configuration =
    "[deployment]\nname = t\n[data_centre.east]\nregion = r\n"
    "[service.ledger]\nkeyed = true\nslots = 8\n"
    "[target.a]\nservice = ledger\ndata_centre = east\naddress = 127.0.0.1:1\n";

/// An invalid base document and the texts that its error messages must contain.
struct invalid_document {
    const char* name;
    const char* base;
    std::vector<const char*> expected_texts;
};

const std::vector<invalid_document> invalid_documents{
    {"an unknown key", "[deployment]\nname = t\nsead = 4\n", {"base.ini", "deployment", "sead", "\"seed\""}},
    {"an unknown section",
     "[deployment]\nname = t\n[servce.x]\nkeyed = true\n",
     {"servce.x", "service.NAME"}},
    {"a number out of range",
     "[deployment]\nname = t\n[service.x]\nslots = 0\n",
     {"base.ini", "service.x", "slots", "\"0\"", "1 to 1048576"}},
    {"a number followed by a letter",
     "[deployment]\nname = t\n[service.x]\nqueue = 7q\n",
     {"queue", "\"7q\"", "0 to 65536"}},
    {"a negative number", "[deployment]\nname = t\nseed = -1\n", {"seed", "\"-1\""}},
    {"a malformed boolean",
     "[deployment]\nname = t\n[service.x]\nkeyed = yes\n",
     {"keyed", "\"yes\"", "true or false"}},
    {"an unknown priority",
     "[deployment]\nname = t\n[service.x]\npriority = low\n",
     {"priority", "\"low\"", "late_tolerant"}},
    {"a missing key",
     "[deployment]\nname = t\n[target.a]\nservice = s\n",
     {"target.a", "\"address\" is missing"}},
    {"a missing section", "[service.x]\nkeyed = true\n", {"deployment", "missing"}},
    {"an unknown service",
     "[deployment]\nname = t\n[data_centre.e]\nregion = r\n[target.a]\nservice = s\n"
     "data_centre = e\naddress = 1.1.1.1:1\n",
     {"target.a", "service", "\"s\"", "[service.NAME]"}},
    {"an address without a port",
     "[deployment]\nname = t\n[data_centre.e]\nregion = r\n[service.s]\nslots = 1\n[target.a]\n"
     "service = s\ndata_centre = e\naddress = host\n",
     {"address", "\"host\"", "IP:PORT"}},
    {"a deadline above the maximum",
     "[deployment]\nname = t\n[service.s]\ndeadline_ms = 900\nmax_deadline_ms = 800\n",
     {"deadline_ms", "\"900\"", "max_deadline_ms"}},
    {"an isolation grace period that is too short",
     "[deployment]\nname = t\n[service.s]\nisolation_grace_ms = 10\n",
     {"isolation_grace_ms", "\"10\"", "3000"}},
    {"a key outside any section", "name = t\n[deployment]\nname = t\n", {"name", "outside any section"}},
    {"a duplicate key", "[deployment]\nname = t\nname = u\n", {"base.ini:3"}},
};

std::string all_text(const std::vector<error>& errors)
{
    std::string text;
    for (const auto& reported : errors)
        text += to_string(reported) + "\n";
    return text;
}

} // namespace

// An operator has to find the cause of an error in a document from the error message alone.
TEST_CASE("a configuration error names the file, section, key, value and allowed values that apply")
{
    for (const auto& document : invalid_documents) {
        const auto parsed = parse_configuration({document.base, {}});
        REQUIRE_MESSAGE(std::holds_alternative<std::vector<error>>(parsed), document.name);
        const std::string text = all_text(std::get<std::vector<error>>(parsed));
        for (const char* expected : document.expected_texts)
            CHECK_MESSAGE(text.find(expected) != std::string::npos, document.name << ": " << text);
    }
}

// Guards against a parser that stops at the first error or drops the errors of an overlay.
TEST_CASE("all errors of the base document and of an overlay are reported, not only the first error")
{
    const auto parsed =
        parse_configuration({"[deployment]\nname = t\nsead = 1\n[service.x]\nslots = 0\nkeyed = 1\n",
                             {{"e.ini", "[service.x]\nqueue = x\n"}}});
    const auto& errors = std::get<std::vector<error>>(parsed);
    CHECK(errors.size() == 4);
    CHECK(all_text(errors).find("e.ini [service.x]") != std::string::npos);
}

// Guards against an overlay that replaces a whole section and so drops keys that only the base
// document sets.
TEST_CASE("an overlay replaces the keys that it sets and keeps the other keys of the base document")
{
    const auto parsed = parse_configuration({valid_configuration, {{"east.ini", "[target.a]\nslots = 9\n"}}});
    const auto* merged = std::get_if<configuration>(&parsed);
    REQUIRE(merged != nullptr);
    CHECK(merged->targets.at(0).slots == 9);
    CHECK(merged->targets.at(0).address == "127.0.0.1:1");
}

// A misspelt required key is both unknown and missing; both errors have to be reported.
TEST_CASE("instance settings give an error for each missing key, unknown key and value out of range")
{
    const auto parsed =
        parse_instance_settings("[instance]\nname = i\nplatfrom = 1.1.1.1:1\ncaller_port = 70000\n", "i.ini");
    const std::string text = all_text(std::get<std::vector<error>>(parsed));
    CHECK(text.find("\"platform\" is missing") != std::string::npos);
    CHECK(text.find("\"platfrom\" is unknown; the nearest known key is \"platform\"") != std::string::npos);
    CHECK(text.find("0 to 65535") != std::string::npos);
}
