#include "LibConfiguration/YamlMap.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace papayaline {

namespace {

std::string
LocationPrefix(const std::string& aFile, const YAML::Mark& aMark)
{
  return aFile + ":" + std::to_string(aMark.line + 1) + ":" +
         std::to_string(aMark.column + 1) + ": ";
}

std::optional<Milliseconds>
ParseDuration(const std::string& aText)
{
  static const std::vector<std::pair<std::string, int64_t>> sUnits = {
    { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 }
  };
  const auto digits = aText.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string::npos || digits > 9) {
    return std::nullopt;
  }
  const auto unit = std::ranges::find(
    sUnits, aText.substr(digits), &std::pair<std::string, int64_t>::first);
  if (unit == sUnits.end()) {
    return std::nullopt;
  }
  return Milliseconds(std::stoll(aText.substr(0, digits)) * unit->second);
}

}

YamlMap::YamlMap(const YAML::Node& aNode, std::string aFile)
  : mNode(aNode)
  , mFile(std::move(aFile))
{
  if (!mNode.IsMap()) {
    AddErrorAt(mNode.Mark(), "expected a mapping");
    mNode = YAML::Node(YAML::NodeType::Map);
    return;
  }
  std::set<std::string> seen;
  for (const auto& it : mNode) {
    if (!seen.insert(it.first.Scalar()).second) {
      AddErrorAt(it.first.Mark(),
                 "duplicate key \"" + it.first.Scalar() + "\"");
    }
  }
}

void
YamlMap::AddErrorAt(const YAML::Mark& aMark, const std::string& aMessage)
{
  if (!mError) {
    mError =
      Error{ ErrorKind::BadInput, LocationPrefix(mFile, aMark) + aMessage };
  }
}

bool
YamlMap::Has(const std::string& aKey) const
{
  return mNode[aKey].IsDefined();
}

void
YamlMap::AddError(const std::string& aKey, const std::string& aMessage)
{
  const auto node = mNode[aKey];
  AddErrorAt(node.IsDefined() ? node.Mark() : mNode.Mark(), aMessage);
}

YAML::Node
YamlMap::LookUp(const std::string& aKey)
{
  mKnownKeys.insert(aKey);
  const YAML::Node& node = mNode;
  return node[aKey];
}

std::string
YamlMap::String(const std::string& aKey)
{
  const auto node = LookUp(aKey);
  if (!node.IsDefined()) {
    AddErrorAt(mNode.Mark(), "missing key \"" + aKey + "\"");
    return {};
  }
  if (!node.IsScalar() || node.Scalar().empty()) {
    AddErrorAt(node.Mark(), "\"" + aKey + "\" must be a non-empty text string");
    return {};
  }
  return node.Scalar();
}

std::string
YamlMap::String(const std::string& aKey, const std::string& aDefault)
{
  mKnownKeys.insert(aKey);
  return Has(aKey) ? String(aKey) : aDefault;
}

unsigned
YamlMap::UnsignedInteger(const std::string& aKey,
                         unsigned aDefault,
                         unsigned aMinimum,
                         unsigned aMaximum)
{
  const auto node = LookUp(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  unsigned value = 0;
  if (!YAML::convert<unsigned>::decode(node, value) || value < aMinimum ||
      value > aMaximum) {
    AddErrorAt(node.Mark(),
               "\"" + aKey + "\" must be an integer from " +
                 std::to_string(aMinimum) + " to " + std::to_string(aMaximum));
    return aDefault;
  }
  return value;
}

double
YamlMap::Number(const std::string& aKey,
                double aDefault,
                double aMinimum,
                double aMaximum)
{
  const auto node = LookUp(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  double value = 0;
  // A NaN fails both comparisons, so it is rejected too.
  if (!YAML::convert<double>::decode(node, value) ||
      !(value >= aMinimum && value <= aMaximum)) {
    AddErrorAt(node.Mark(),
               "\"" + aKey + "\" must be a number from " +
                 std::to_string(aMinimum) + " to " + std::to_string(aMaximum));
    return aDefault;
  }
  return value;
}

bool
YamlMap::Boolean(const std::string& aKey, bool aDefault)
{
  const auto node = LookUp(aKey);
  bool value = aDefault;
  if (node.IsDefined() && !YAML::convert<bool>::decode(node, value)) {
    AddErrorAt(node.Mark(), "\"" + aKey + "\" must be true or false");
  }
  return value;
}

std::optional<Milliseconds>
YamlMap::Duration(const std::string& aKey,
                  Milliseconds aMinimum,
                  Milliseconds aMaximum)
{
  const auto node = LookUp(aKey);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  const auto value =
    node.IsScalar() ? ParseDuration(node.Scalar()) : std::nullopt;
  if (!value || *value < aMinimum || *value > aMaximum) {
    AddErrorAt(node.Mark(),
               "\"" + aKey +
                 "\" must be a duration such as 500ms, 5s or 24h, from " +
                 std::to_string(aMinimum.count()) + "ms to " +
                 std::to_string(aMaximum.count()) + "ms");
    return std::nullopt;
  }
  return value;
}

Address
YamlMap::HostAndPort(const std::string& aKey)
{
  const auto address = ParseAddress(String(aKey));
  if (address.IsError()) {
    AddError(aKey, address.GetError().mMessage);
    return {};
  }
  return address.Value();
}

std::string
YamlMap::Choice(const std::string& aKey,
                const std::vector<std::string>& aChoices)
{
  const auto value = String(aKey, aChoices.front());
  if (std::ranges::find(aChoices, value) == aChoices.end()) {
    std::string list;
    std::ranges::for_each(aChoices, [&](const auto& it) { list += " " + it; });
    AddError(aKey, "\"" + aKey + "\" must be one of:" + list);
  }
  return value;
}

std::vector<YamlMap>
YamlMap::MapList(const std::string& aKey)
{
  const auto node = LookUp(aKey);
  std::vector<YamlMap> maps;
  if (!node.IsDefined() || !node.IsSequence()) {
    AddError(aKey, "\"" + aKey + "\" must be a list");
    return maps;
  }
  std::ranges::transform(node, std::back_inserter(maps), [&](const auto& it) {
    return YamlMap(it, mFile);
  });
  return maps;
}

std::vector<std::string>
YamlMap::StringList(const std::string& aKey)
{
  const auto node = LookUp(aKey);
  std::vector<std::string> strings;
  if (node.IsDefined() && !node.IsSequence()) {
    AddError(aKey, "\"" + aKey + "\" must be a list");
    return strings;
  }
  for (const auto& it : node) {
    strings.push_back(it.Scalar());
  }
  return strings;
}

std::map<std::string, std::string>
YamlMap::StringMap()
{
  std::map<std::string, std::string> strings;
  if (!mNode.IsMap()) {
    return strings;
  }
  for (const auto& it : mNode) {
    const auto key = it.first.Scalar();
    strings[key] = String(key);
  }
  return strings;
}

std::optional<YamlMap>
YamlMap::Map(const std::string& aKey)
{
  const auto node = LookUp(aKey);
  return node.IsDefined() ? std::optional(YamlMap(node, mFile)) : std::nullopt;
}

void
YamlMap::MergeError(const Result<Done>& aNested)
{
  if (aNested.IsError() && !mError) {
    mError = aNested.GetError();
  }
}

Result<Done>
YamlMap::Finish()
{
  for (const auto& it : mNode) {
    if (!mKnownKeys.contains(it.first.Scalar())) {
      AddErrorAt(it.first.Mark(), "unknown key \"" + it.first.Scalar() + "\"");
    }
  }
  if (mError) {
    return *mError;
  }
  return Done{};
}

Result<YamlMap>
LoadYaml(const std::string& aText, const std::string& aFile)
{
  try {
    return YamlMap(YAML::Load(aText), aFile);
  } catch (const YAML::Exception& exception) {
    return Error{ ErrorKind::BadInput,
                  LocationPrefix(aFile, exception.mark) + exception.msg };
  }
}

Result<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ ErrorKind::BadInput, aFile + ": can't be read" };
  }
  return text.str();
}

}
