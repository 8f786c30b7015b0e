#include "programs/TextFile.h"

#include <fstream>
#include <sstream>

namespace tarragontray {

std::optional<std::string>
ReadWholeFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return file ? std::optional(text.str()) : std::nullopt;
}

bool
WriteWholeFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::trunc);
  file << aText;
  file.close();
  return !file.fail();
}

} // namespace tarragontray
