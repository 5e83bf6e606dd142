#ifndef CHICORY_TESTS_SUPPORT_CORPUS_HPP
#define CHICORY_TESTS_SUPPORT_CORPUS_HPP

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace chicory::testing_support
{

/// Returns the contents of all TOML files below a folder, ordered by path.
inline std::vector<std::string> read_corpus(const std::string& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(folder))
    {
        if (entry.path().extension() == ".toml")
        {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> contents;
    for (const std::filesystem::path& path : paths)
    {
        std::ifstream file(path);
        contents.emplace_back(
            std::istreambuf_iterator<char>(file),
            std::istreambuf_iterator<char>());
    }
    return contents;
}

/// A temporary file whose name contains the process id. The destructor removes
/// it.
class scratch_file
{
public:
    explicit scratch_file(const std::string& name)
        : file_path((std::filesystem::temp_directory_path() /
                     (std::to_string(getpid()) + "-" + name))
                        .string())
    {
    }

    ~scratch_file()
    {
        std::remove(this->file_path.c_str());
    }

    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    const std::string& path() const
    {
        return this->file_path;
    }

    /// Replaces the content of the file.
    void write(const std::string& content) const
    {
        std::ofstream file(this->file_path, std::ios::trunc | std::ios::binary);
        file << content;
    }

private:
    std::string file_path;
};

} // namespace chicory::testing_support

#endif
