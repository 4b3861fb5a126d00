#pragma once

#include "LibConfiguration/Configuration.h"

#include <set>
#include <yaml-cpp/yaml.h>

namespace papayaline {

/// A YAML mapping that is read strictly: every key must be known and appear
/// once, and each error names its line and column. The first error is kept;
/// later reads return default values. Thread safety: one thread.
class YamlMap
{
public:
  YamlMap(const YAML::Node& aNode, std::string aFile);

  /// Errors of these reads are kept for Finish.
  std::string Text(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  unsigned Count(const std::string& aKey,
                 unsigned aDefault,
                 unsigned aMinimum,
                 unsigned aMaximum);
  double Number(const std::string& aKey,
                double aDefault,
                double aMinimum,
                double aMaximum);
  bool Flag(const std::string& aKey, bool aDefault);
  std::optional<Milliseconds> Time(const std::string& aKey,
                                   Milliseconds aMinimum,
                                   Milliseconds aMaximum);
  Address HostAndPort(const std::string& aKey);
  /// One of aChoices; the first is the default.
  std::string Choice(const std::string& aKey,
                     const std::vector<std::string>& aChoices);
  std::vector<YamlMap> Maps(const std::string& aKey);
  std::vector<std::string> Texts(const std::string& aKey);
  std::optional<YamlMap> Map(const std::string& aKey);

  bool Has(const std::string& aKey) const;
  /// Records an error at the value of aKey.
  void Fail(const std::string& aKey, const std::string& aMessage);
  /// Adopts the error of a nested mapping.
  void Adopt(const Result<Done>& aNested);

  /// The first error, including a key that nobody asked for.
  Result<Done> Finish();

private:
  YAML::Node Take(const std::string& aKey);
  void FailAt(const YAML::Mark& aMark, const std::string& aMessage);

  YAML::Node mNode;
  std::string mFile;
  std::set<std::string> mKnown;
  std::optional<Error> mError;
};

/// Reads a YAML document whose top is a mapping. Errors: BadInput.
Result<YamlMap>
LoadYaml(const std::string& aText, const std::string& aFile);

/// Reads a whole file. Errors: BadInput.
Result<std::string>
ReadFile(const std::string& aFile);

}
