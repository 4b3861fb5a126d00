#pragma once

#include "LibConfiguration/Configuration.h"

#include <map>
#include <set>
#include <yaml-cpp/yaml.h>

namespace papayaline {

/// Strict reader of a YAML mapping: unknown and duplicate keys are errors, and
/// each error message starts with file:line:column. Reads never fail directly:
/// a read of an invalid value records an error and returns a default value, and
/// Finish() returns the first error. Thread safety: one thread.
class YamlMap
{
public:
  YamlMap(const YAML::Node& aNode, std::string aFile);

  /// These methods mark a key as known and return its value. Values out of
  /// range are errors.
  std::string String(const std::string& aKey);
  std::string String(const std::string& aKey, const std::string& aDefault);
  unsigned UnsignedInteger(const std::string& aKey,
                           unsigned aDefault,
                           unsigned aMinimum,
                           unsigned aMaximum);
  double Number(const std::string& aKey,
                double aDefault,
                double aMinimum,
                double aMaximum);
  bool Boolean(const std::string& aKey, bool aDefault);
  std::optional<Milliseconds> Duration(const std::string& aKey,
                                       Milliseconds aMinimum,
                                       Milliseconds aMaximum);
  Address HostAndPort(const std::string& aKey);
  /// Reads one of aChoices; the first is the default.
  std::string Choice(const std::string& aKey,
                     const std::vector<std::string>& aChoices);
  std::vector<YamlMap> MapList(const std::string& aKey);
  std::vector<std::string> StringList(const std::string& aKey);
  std::optional<YamlMap> Map(const std::string& aKey);
  /// All entries of the mapping; each value must be a non-empty text.
  std::map<std::string, std::string> StringMap();

  /// Whether the mapping has the key; does not mark it as known.
  bool Has(const std::string& aKey) const;
  /// Records an error at the value of aKey, or at the mapping when it has no
  /// such key.
  void AddError(const std::string& aKey, const std::string& aMessage);
  /// Records the error of a nested mapping, if any.
  void MergeError(const Result<Done>& aNested);

  /// Checks for unknown keys, which are those that no method has read, and
  /// returns the first error. Call it after all reads.
  Result<Done> Finish();

private:
  YAML::Node LookUp(const std::string& aKey);
  void AddErrorAt(const YAML::Mark& aMark, const std::string& aMessage);

  YAML::Node mNode;
  std::string mFile;
  std::set<std::string> mKnownKeys;
  std::optional<Error> mError;
};

/// Parses a YAML document whose root is a mapping. aFile is the name used in
/// error messages. Errors: BadInput for invalid YAML; a root that is no mapping
/// is an error of Finish().
Result<YamlMap>
LoadYaml(const std::string& aText, const std::string& aFile);

/// Reads a whole file. Errors: BadInput.
Result<std::string>
ReadFile(const std::string& aFile);

}
