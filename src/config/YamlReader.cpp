#include "config/YamlReader.h"

#include <charconv>
#include <cmath>

namespace dragonfly::config {

namespace {

    struct Unit {
        std::string_view name;
        uint64_t factor;
    };

    constexpr Unit timeUnits[] = { { "ms", 1 }, { "s", 1000 }, { "m", 60 * 1000 } };
    constexpr Unit byteUnits[] = { { "KiB", 1 << 10 }, { "MiB", 1 << 20 }, { "B", 1 } };

    /// Larger numbers are mistakes; all smaller ones fit, in any unit.
    constexpr double maxQuantity = 1e12;
    constexpr std::chrono::milliseconds millisecondsPerDay = std::chrono::hours(24);

    /// Parses a number with a unit: "2.5s" with timeUnits is 2500. Returns nothing if the text has another form.
    template <size_t Count> std::optional<uint64_t> parseQuantity(std::string_view text, const Unit (&units)[Count])
    {
        double number = 0;
        const auto [end, failure]
            = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        if (failure != std::errc() || !(number >= 0 && number <= maxQuantity))
            return std::nullopt;
        const std::string_view suffix(end, static_cast<size_t>(text.data() + text.size() - end));
        for (const auto& unit : units) {
            if (suffix == unit.name)
                return static_cast<uint64_t>(std::llround(number * static_cast<double>(unit.factor)));
        }
        return std::nullopt;
    }

}

std::string toString(const Problem& problem)
{
    return problem.where.file + ":" + std::to_string(problem.where.line) + ": " + problem.message;
}

MapReader::MapReader(std::string file, const YAML::Node& node, std::vector<Problem>& problems)
    : file(std::move(file))
    , node(node)
    , problems(problems)
{
    if (node.IsDefined() && !node.IsMap() && !node.IsNull())
        this->addProblem("", "expected a map of fields");
}

Location MapReader::locationOf(const std::string& field) const
{
    if (this->node.IsMap() && this->node[field])
        return { this->file, this->node[field].Mark().line + 1 };
    return { this->file, this->node.Mark().line + 1 };
}

void MapReader::addProblem(const std::string& field, const std::string& message)
{
    this->problems.push_back({ this->locationOf(field), (field.empty() ? "" : field + ": ") + message });
}

YAML::Node MapReader::readField(const std::string& field)
{
    this->readFields.insert(field);
    if (!this->node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    return this->node[field];
}

YAML::Node MapReader::child(const std::string& field)
{
    return this->readField(field);
}

std::string MapReader::requiredText(const std::string& field)
{
    auto value = this->text(field);
    if (value.empty())
        this->addProblem(field, "a non-empty string is required");
    return value;
}

std::string MapReader::text(const std::string& field, std::string fallback)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    if (value.IsScalar())
        return value.Scalar();
    this->addProblem(field, "expected a string");
    return fallback;
}

std::vector<std::string> MapReader::texts(const std::string& field)
{
    std::vector<std::string> result;
    const auto value = this->readField(field);
    if (!value)
        return result;
    if (!value.IsSequence()) {
        this->addProblem(field, "expected a list, such as [first, second]");
        return result;
    }
    for (const auto& item : value) {
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            this->addProblem(field, "expected a list of strings");
    }
    return result;
}

uint64_t MapReader::number(const std::string& field, uint64_t fallback, uint64_t min, uint64_t max)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    const auto text = value.IsScalar() ? value.Scalar() : std::string();
    uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure == std::errc() && end == text.data() + text.size() && number >= min && number <= max)
        return number;
    this->addProblem(field, "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

double MapReader::fraction(const std::string& field, double fallback)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    double number = -1;
    if (value.IsScalar() && YAML::convert<double>::decode(value, number) && number >= 0 && number <= 1)
        return number;
    this->addProblem(field, "expected a number from 0 to 1");
    return fallback;
}

bool MapReader::flag(const std::string& field, bool fallback)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    bool result = fallback;
    if (!value.IsScalar() || !YAML::convert<bool>::decode(value, result))
        this->addProblem(field, "expected true or false");
    return result;
}

std::chrono::milliseconds MapReader::duration(
    const std::string& field, std::chrono::milliseconds fallback, std::chrono::milliseconds max)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    const auto parsed = parseQuantity(value.IsScalar() ? value.Scalar() : "", timeUnits);
    if (parsed && *parsed <= static_cast<uint64_t>(max.count()))
        return std::chrono::milliseconds(*parsed);
    this->addProblem(field,
        parsed ? "expected at most " + std::to_string(max / millisecondsPerDay) + " days"
               : "expected a duration with its unit, such as 250ms, 30s or 5m");
    return fallback;
}

uint64_t MapReader::bytes(const std::string& field, uint64_t fallback, uint64_t max)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    const auto parsed = parseQuantity(value.IsScalar() ? value.Scalar() : "", byteUnits);
    if (parsed && *parsed <= max)
        return *parsed;
    this->addProblem(field,
        parsed ? "expected at most " + std::to_string(max) + "B"
               : "expected a size with its unit, such as 512B, 64KiB or 8MiB");
    return fallback;
}

Endpoint MapReader::endpoint(const std::string& field, const std::string& fallback)
{
    const auto text = this->text(field, fallback);
    if (const auto parsed = parseEndpoint(text))
        return *parsed;
    this->addProblem(field, "expected an IP address and a port, such as 127.0.0.1:8080");
    return {};
}

Endpoint MapReader::remoteEndpoint(const std::string& field)
{
    if (const auto parsed = parseRemoteEndpoint(this->text(field)))
        return *parsed;
    this->addProblem(field, "expected the IP address and port of a process, such as 127.0.0.1:8080");
    return {};
}

std::vector<Endpoint> MapReader::remoteEndpoints(const std::string& field)
{
    std::vector<Endpoint> result;
    for (const auto& text : this->texts(field)) {
        if (const auto parsed = parseRemoteEndpoint(text))
            result.push_back(*parsed);
        else
            this->addProblem(
                field, "'" + text + "': expected the IP address and port of a process, such as 127.0.0.1:8080");
    }
    return result;
}

size_t MapReader::choice(const std::string& field, const std::vector<std::string>& names, size_t fallback)
{
    const auto value = this->readField(field);
    if (!value)
        return fallback;
    const auto found = std::find(names.begin(), names.end(), value.IsScalar() ? value.Scalar() : "");
    if (found != names.end())
        return static_cast<size_t>(found - names.begin());
    std::string expected;
    for (const auto& name : names)
        expected += (expected.empty() ? "" : " or ") + name;
    this->addProblem(field, "expected " + expected);
    return fallback;
}

void MapReader::reportUnknownFields()
{
    if (!this->node.IsMap())
        return;
    for (const auto& field : this->node) {
        const auto name = field.first.IsScalar() ? field.first.Scalar() : std::string("?");
        if (this->readFields.contains(name))
            continue;
        std::string known;
        for (const auto& other : this->readFields)
            known += (known.empty() ? "" : ", ") + other;
        this->problems.push_back(
            { { this->file, field.first.Mark().line + 1 }, name + ": unknown field; known fields: " + known });
    }
}

}
