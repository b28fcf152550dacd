// Checks that the documentation lists every metric and every error kind.

#include "observe/Metrics.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

namespace {

std::string readDoc(const char* name)
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

Test(docs, metricsTableIsComplete)
{
    dragonfly::observe::Metrics metrics;
    const auto page = readDoc("metrics.md");
    const auto families = metrics.registry()->Collect();
    cr_assert_geq(families.size(), 20);
    for (const auto& family : families)
        cr_assert(page.find("`" + family.name + "`") != std::string::npos, "%s is missing", family.name.c_str());
}

Test(docs, errorTableIsComplete)
{
    const auto page = readDoc("API.md");
    for (int kind = 0; kind <= static_cast<int>(dragonfly::ErrorKind::Internal); ++kind) {
        const auto& answer = dragonfly::answerFor(static_cast<dragonfly::ErrorKind>(kind));
        const auto row = "| `" + std::string(answer.name) + "` | " + std::to_string(answer.status) + " | ";
        cr_assert(page.find(row) != std::string::npos, "%s is missing", row.c_str());
    }
}
