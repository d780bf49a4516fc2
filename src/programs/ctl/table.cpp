#include "table.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

bool isArrayOfObjects(const json& value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const json& entry) { return entry.is_object(); });
}

std::vector<std::string> fieldNames(const json& objects)
{
    std::vector<std::string> fields;
    for (const auto& object : objects)
        for (const auto& [name, value] : object.items())
            if (std::find(fields.begin(), fields.end(), name) == fields.end())
                fields.push_back(name);
    return fields;
}

void collect(const json& value, const std::string& path, std::vector<std::vector<std::string>>& lines,
    std::string& tables)
{
    if (value.is_object() && !value.empty()) {
        for (const auto& [name, inner] : value.items())
            collect(inner, path.empty() ? name : std::string(path).append(".").append(name), lines, tables);
    } else if (isArrayOfObjects(value)) {
        tables += "\n" + path + ":\n" + renderObjects(value, fieldNames(value));
    } else {
        lines.push_back({ path, renderScalar(value) });
    }
}

} // namespace

std::string renderScalar(const json& value)
{
    const std::string text = value.is_null() ? "-"
        : value.is_string()                  ? value.get<std::string>()
                                             : value.dump(-1, ' ', false, json::error_handler_t::replace);
    std::string out;
    // Texts in the response may contain terminal control sequences.
    for (const char c : text)
        out += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
    return out;
}

std::string renderTable(
    const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::vector<std::string>> all;
    if (!header.empty())
        all.push_back(header);
    all.insert(all.end(), rows.begin(), rows.end());
    std::vector<std::size_t> widths;
    for (const auto& row : all) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto& row : all) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out += row[i];
            if (i + 1 < row.size())
                out.append(widths[i] - row[i].size() + 2, ' ');
        }
        out += '\n';
    }
    return out;
}

std::string renderObjects(const json& objects, const std::vector<std::string>& fields)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto& object : objects) {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const auto& field : fields)
            row.push_back(object.contains(field) ? renderScalar(object.at(field)) : "-");
        rows.push_back(std::move(row));
    }
    std::vector<std::string> header = fields;
    for (auto& name : header)
        std::transform(name.begin(), name.end(), name.begin(),
            [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; });
    return renderTable(header, rows);
}

std::string renderDocument(const json& document)
{
    std::vector<std::vector<std::string>> lines;
    std::string tables;
    collect(document, {}, lines, tables);
    return renderTable({}, lines) + tables;
}

} // namespace marigold::ctl
