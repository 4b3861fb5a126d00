#include "LibDecision/StatementKind.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace papayaline {

namespace {

/// Splits a statement into words and symbols. Skips comments, and returns each
/// string or quoted name as a single token with its text.
class Tokenizer
{
public:
  struct Token
  {
    std::string mText;
    bool mIsQuoted = false;
  };

  explicit Tokenizer(std::string_view aSql)
    : mSql(aSql)
  {
  }

  std::vector<Token> All()
  {
    std::vector<Token> tokens;
    while (auto token = Next()) {
      tokens.push_back(std::move(*token));
    }
    return tokens;
  }

private:
  static bool IsWordChar(char aChar)
  {
    const auto it = static_cast<unsigned char>(aChar);
    return std::isalnum(it) != 0 || aChar == '_' || aChar == '.' ||
           (it & 0x80) != 0;
  }

  char Peek(size_t aAhead = 0) const
  {
    return mAt + aAhead < mSql.size() ? mSql[mAt + aAhead] : '\0';
  }

  void SkipBlockComment()
  {
    int depth = 0;
    do {
      if (Peek() == '/' && Peek(1) == '*') {
        ++depth;
        mAt += 2;
      } else if (Peek() == '*' && Peek(1) == '/') {
        --depth;
        mAt += 2;
      } else {
        ++mAt;
      }
    } while (depth > 0 && mAt < mSql.size());
  }

  void SkipSpace()
  {
    while (mAt < mSql.size()) {
      if (std::isspace(static_cast<unsigned char>(Peek())) != 0) {
        ++mAt;
      } else if (Peek() == '-' && Peek(1) == '-') {
        mAt = std::min(mSql.find('\n', mAt), mSql.size());
      } else if (Peek() == '/' && Peek(1) == '*') {
        SkipBlockComment();
      } else {
        return;
      }
    }
  }

  Token Quoted(char aQuote)
  {
    Token token{ {}, true };
    for (++mAt; mAt < mSql.size(); ++mAt) {
      if (Peek() == aQuote && Peek(1) == aQuote) {
        ++mAt;
      } else if (Peek() == aQuote) {
        break;
      }
      token.mText += Peek();
    }
    ++mAt;
    return token;
  }

  std::optional<Token> DollarQuoted()
  {
    const auto end = mSql.find('$', mAt + 1);
    if (end == std::string_view::npos ||
        std::isdigit(static_cast<unsigned char>(Peek(1))) != 0) {
      return std::nullopt;
    }
    const auto tag = mSql.substr(mAt, end - mAt + 1);
    if (!std::ranges::all_of(tag.substr(1, tag.size() - 2), IsWordChar)) {
      return std::nullopt;
    }
    const auto close = std::min(mSql.find(tag, end + 1), mSql.size());
    Token token{ std::string(mSql.substr(end + 1, close - end - 1)), true };
    mAt = std::min(close + tag.size(), mSql.size());
    return token;
  }

  std::optional<Token> Next()
  {
    SkipSpace();
    if (mAt >= mSql.size()) {
      return std::nullopt;
    }
    const char first = Peek();
    if (first == '\'' || first == '"') {
      return Quoted(first);
    }
    if (first == '$') {
      if (auto token = DollarQuoted()) {
        return token;
      }
    }
    if (!IsWordChar(first)) {
      ++mAt;
      return Token{ std::string(1, first), false };
    }
    Token token;
    while (mAt < mSql.size() && IsWordChar(Peek())) {
      token.mText += static_cast<char>(
        std::toupper(static_cast<unsigned char>(mSql[mAt++])));
    }
    return token;
  }

  std::string_view mSql;
  size_t mAt = 0;
};

using Tokens = std::vector<Tokenizer::Token>;

bool
IsWord(const Tokens& aTokens, size_t aAt, std::string_view aWord)
{
  return aAt < aTokens.size() && !aTokens[aAt].mIsQuoted &&
         aTokens[aAt].mText == aWord;
}

bool
HasWord(const Tokens& aTokens, std::string_view aWord)
{
  return std::ranges::any_of(aTokens, [&](const auto& it) {
    return !it.mIsQuoted && it.mText == aWord;
  });
}

constexpr std::array kUnsupported = {
  std::string_view("COPY"),       std::string_view("LISTEN"),
  std::string_view("UNLISTEN"),   std::string_view("NOTIFY"),
  std::string_view("DECLARE"),    std::string_view("FETCH"),
  std::string_view("PREPARE"),    std::string_view("EXECUTE"),
  std::string_view("DEALLOCATE"), std::string_view("LOAD"),
  std::string_view("LOCK"),       std::string_view("MOVE"),
};

/// Words that make a query a possible write although it starts like a read.
constexpr std::array kWriteWords = {
  std::string_view("INSERT"),   std::string_view("UPDATE"),
  std::string_view("DELETE"),   std::string_view("MERGE"),
  std::string_view("INTO"),     std::string_view("NEXTVAL"),
  std::string_view("SETVAL"),   std::string_view("SHARE"),
  std::string_view("CALL"),     std::string_view("LO_IMPORT"),
  std::string_view("TRUNCATE"), std::string_view("DBLINK_EXEC"),
};

constexpr std::array kSessionFunctions = {
  std::string_view("PG_ADVISORY_LOCK"),
  std::string_view("PG_TRY_ADVISORY_LOCK"),
  std::string_view("SET_CONFIG"),
};

Error
Unsupported(std::string_view aWhat)
{
  return { ErrorKind::NotSupported,
           std::string(aWhat) +
             " needs session state, which a shared connection can't keep" };
}

std::string
Lower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

ClassifiedStatement
ClassifyBegin(const Tokens& aTokens)
{
  const bool isReadOnly = HasWord(aTokens, "READ") && HasWord(aTokens, "ONLY");
  return { isReadOnly ? StatementKind::BeginReadOnly : StatementKind::Begin,
           {},
           {} };
}

/// SET name = value, SET name TO value, SET SESSION name ..., RESET name.
ClassifiedStatement
ClassifySet(const Tokens& aTokens)
{
  size_t at =
    IsWord(aTokens, 1, "SESSION") || IsWord(aTokens, 1, "LOCAL") ? 2 : 1;
  ClassifiedStatement statement{ StatementKind::Set, {}, {} };
  if (at < aTokens.size()) {
    statement.mName = Lower(aTokens[at++].mText);
  }
  if (IsWord(aTokens, at, "=") || IsWord(aTokens, at, "TO")) {
    ++at;
  }
  for (; at < aTokens.size(); ++at) {
    const auto& token = aTokens[at];
    statement.mValue += token.mIsQuoted ? token.mText : Lower(token.mText);
  }
  return statement;
}

ClassifiedStatement
ClassifyQuery(const Tokens& aTokens)
{
  const bool writes = std::ranges::any_of(
    kWriteWords, [&](auto it) { return HasWord(aTokens, it); });
  const bool analyzes =
    IsWord(aTokens, 0, "EXPLAIN") && HasWord(aTokens, "ANALYZE");
  return { writes || analyzes ? StatementKind::Write : StatementKind::Read,
           {},
           {} };
}

bool
IsOneOf(const Tokens& aTokens, std::initializer_list<std::string_view> aWords)
{
  return std::ranges::any_of(aWords,
                             [&](auto it) { return IsWord(aTokens, 0, it); });
}

Result<ClassifiedStatement>
ClassifyTokens(const Tokens& aTokens)
{
  if (IsOneOf(aTokens, { "BEGIN", "START" })) {
    return ClassifyBegin(aTokens);
  }
  if (IsOneOf(aTokens, { "COMMIT", "END" })) {
    return IsWord(aTokens, 1, "PREPARED")
             ? Result<ClassifiedStatement>(Unsupported("COMMIT PREPARED"))
             : ClassifiedStatement{ StatementKind::Commit, {}, {} };
  }
  if (IsOneOf(aTokens, { "ROLLBACK", "ABORT" })) {
    return ClassifiedStatement{ HasWord(aTokens, "TO")
                                  ? StatementKind::Savepoint
                                  : StatementKind::Rollback,
                                {},
                                {} };
  }
  if (IsOneOf(aTokens, { "SAVEPOINT", "RELEASE" })) {
    return ClassifiedStatement{ StatementKind::Savepoint, {}, {} };
  }
  if (IsOneOf(aTokens, { "SET", "RESET" })) {
    return ClassifySet(aTokens);
  }
  if (IsWord(aTokens, 0, "SHOW")) {
    auto statement = ClassifySet(aTokens);
    statement.mKind = StatementKind::Show;
    return statement;
  }
  if (IsOneOf(aTokens, { "SELECT", "VALUES", "TABLE", "WITH", "EXPLAIN" })) {
    return ClassifyQuery(aTokens);
  }
  return ClassifiedStatement{ StatementKind::Write, {}, {} };
}

std::optional<Error>
FindSessionState(const Tokens& aTokens)
{
  const auto word = std::ranges::find_if(
    kUnsupported, [&](auto it) { return IsWord(aTokens, 0, it); });
  if (word != kUnsupported.end()) {
    return Unsupported(*word);
  }
  const bool createsTemporary =
    IsWord(aTokens, 0, "CREATE") &&
    (HasWord(aTokens, "TEMP") || HasWord(aTokens, "TEMPORARY"));
  if (createsTemporary) {
    return Unsupported("a temporary table");
  }
  const bool locks = std::ranges::any_of(
    kSessionFunctions, [&](auto it) { return HasWord(aTokens, it); });
  return locks ? std::optional(Unsupported("a session function"))
               : std::nullopt;
}

}

Result<ClassifiedStatement>
ClassifyStatement(std::string_view aSql)
{
  auto tokens = Tokenizer(aSql).All();
  while (IsWord(tokens, tokens.size() - 1, ";")) {
    tokens.pop_back();
  }
  if (tokens.empty()) {
    return ClassifiedStatement{ StatementKind::Empty, {}, {} };
  }
  if (HasWord(tokens, ";")) {
    return Error{ ErrorKind::NotSupported,
                  "several statements in one query; send them one by one" };
  }
  if (auto error = FindSessionState(tokens)) {
    return *error;
  }
  return ClassifyTokens(tokens);
}

}
