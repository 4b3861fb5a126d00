#include "LibConfiguration/YamlMap.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace papayaline {

namespace {

std::string
At(const std::string& aFile, const YAML::Mark& aMark)
{
  return aFile + ":" + std::to_string(aMark.line + 1) + ":" +
         std::to_string(aMark.column + 1) + ": ";
}

std::optional<Milliseconds>
ParseTime(const std::string& aText)
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
    FailAt(mNode.Mark(), "expected a mapping");
    mNode = YAML::Node(YAML::NodeType::Map);
    return;
  }
  std::set<std::string> seen;
  for (const auto& it : mNode) {
    if (!seen.insert(it.first.Scalar()).second) {
      FailAt(it.first.Mark(), "duplicate key \"" + it.first.Scalar() + "\"");
    }
  }
}

void
YamlMap::FailAt(const YAML::Mark& aMark, const std::string& aMessage)
{
  if (!mError) {
    mError = Error{ ErrorKind::BadInput, At(mFile, aMark) + aMessage };
  }
}

bool
YamlMap::Has(const std::string& aKey) const
{
  return mNode[aKey].IsDefined();
}

void
YamlMap::Fail(const std::string& aKey, const std::string& aMessage)
{
  const auto node = mNode[aKey];
  FailAt(node.IsDefined() ? node.Mark() : mNode.Mark(), aMessage);
}

YAML::Node
YamlMap::Take(const std::string& aKey)
{
  mKnown.insert(aKey);
  const YAML::Node& node = mNode;
  return node[aKey];
}

std::string
YamlMap::Text(const std::string& aKey)
{
  const auto node = Take(aKey);
  if (!node.IsDefined()) {
    FailAt(mNode.Mark(), "missing key \"" + aKey + "\"");
    return {};
  }
  if (!node.IsScalar() || node.Scalar().empty()) {
    FailAt(node.Mark(), "\"" + aKey + "\" must be a text that is not empty");
    return {};
  }
  return node.Scalar();
}

std::string
YamlMap::Text(const std::string& aKey, const std::string& aDefault)
{
  mKnown.insert(aKey);
  return Has(aKey) ? Text(aKey) : aDefault;
}

unsigned
YamlMap::Count(const std::string& aKey,
               unsigned aDefault,
               unsigned aMinimum,
               unsigned aMaximum)
{
  const auto node = Take(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  unsigned value = 0;
  if (!YAML::convert<unsigned>::decode(node, value) || value < aMinimum ||
      value > aMaximum) {
    FailAt(node.Mark(),
           "\"" + aKey + "\" must be a number from " +
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
  const auto node = Take(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  double value = 0;
  // A comparison with something that is no number is false.
  if (!YAML::convert<double>::decode(node, value) ||
      !(value >= aMinimum && value <= aMaximum)) {
    FailAt(node.Mark(),
           "\"" + aKey + "\" must be a number from " +
             std::to_string(aMinimum) + " to " + std::to_string(aMaximum));
    return aDefault;
  }
  return value;
}

bool
YamlMap::Flag(const std::string& aKey, bool aDefault)
{
  const auto node = Take(aKey);
  bool value = aDefault;
  if (node.IsDefined() && !YAML::convert<bool>::decode(node, value)) {
    FailAt(node.Mark(), "\"" + aKey + "\" must be true or false");
  }
  return value;
}

std::optional<Milliseconds>
YamlMap::Time(const std::string& aKey,
              Milliseconds aMinimum,
              Milliseconds aMaximum)
{
  const auto node = Take(aKey);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  const auto value = node.IsScalar() ? ParseTime(node.Scalar()) : std::nullopt;
  if (!value || *value < aMinimum || *value > aMaximum) {
    FailAt(node.Mark(),
           "\"" + aKey + "\" must be a time such as 500ms, 5s or 24h, from " +
             std::to_string(aMinimum.count()) + "ms to " +
             std::to_string(aMaximum.count()) + "ms");
    return std::nullopt;
  }
  return value;
}

Address
YamlMap::HostAndPort(const std::string& aKey)
{
  const auto address = ParseAddress(Text(aKey));
  if (address.IsError()) {
    Fail(aKey, address.GetError().mMessage);
    return {};
  }
  return address.Value();
}

std::string
YamlMap::Choice(const std::string& aKey,
                const std::vector<std::string>& aChoices)
{
  const auto value = Text(aKey, aChoices.front());
  if (std::ranges::find(aChoices, value) == aChoices.end()) {
    std::string list;
    std::ranges::for_each(aChoices, [&](const auto& it) { list += " " + it; });
    Fail(aKey, "\"" + aKey + "\" must be one of:" + list);
  }
  return value;
}

std::vector<YamlMap>
YamlMap::Maps(const std::string& aKey)
{
  const auto node = Take(aKey);
  std::vector<YamlMap> maps;
  if (!node.IsDefined() || !node.IsSequence()) {
    Fail(aKey, "\"" + aKey + "\" must be a list");
    return maps;
  }
  std::ranges::transform(node, std::back_inserter(maps), [&](const auto& it) {
    return YamlMap(it, mFile);
  });
  return maps;
}

std::vector<std::string>
YamlMap::Texts(const std::string& aKey)
{
  const auto node = Take(aKey);
  std::vector<std::string> texts;
  if (node.IsDefined() && !node.IsSequence()) {
    Fail(aKey, "\"" + aKey + "\" must be a list");
    return texts;
  }
  for (const auto& it : node) {
    texts.push_back(it.Scalar());
  }
  return texts;
}

std::optional<YamlMap>
YamlMap::Map(const std::string& aKey)
{
  const auto node = Take(aKey);
  return node.IsDefined() ? std::optional(YamlMap(node, mFile)) : std::nullopt;
}

void
YamlMap::Adopt(const Result<Done>& aNested)
{
  if (aNested.IsError() && !mError) {
    mError = aNested.GetError();
  }
}

Result<Done>
YamlMap::Finish()
{
  for (const auto& it : mNode) {
    if (!mKnown.contains(it.first.Scalar())) {
      FailAt(it.first.Mark(), "unknown key \"" + it.first.Scalar() + "\"");
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
                  At(aFile, exception.mark) + exception.msg };
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
