// Writes samples of the stored records, of the messages between instances and of the hashes that instances share, as
// this build writes them.
//
// usage: samples FOLDER     an empty folder, or one that does not exist yet

#include "tests/support/UpgradeSamples.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

void writeAll(const std::filesystem::path& folder, const testing::Samples& samples)
{
    std::filesystem::create_directories(folder);
    for (const auto& [name, bytes] : samples)
        std::ofstream(folder / name, std::ios::binary) << bytes;
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: samples FOLDER\n";
        return 2;
    }
    const std::filesystem::path folder = arguments[1];
    try {
        if (std::filesystem::exists(folder) && !std::filesystem::is_empty(folder)) {
            std::cerr << folder.string() << " is not empty\n";
            return 1;
        }
        writeAll(folder / "messages", testing::messageSamples());
        writeAll(folder / "records", testing::recordSamples());
        std::ofstream(folder / "hashes") << testing::hashSamples();
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
