#include "platform/StoreAnswers.h"

#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace papayaline;
using namespace papayaline::platform;

/// Answers of the store with entries of other writers among the readable ones.
class TestStoreAnswers : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestStoreAnswers);
  CPPUNIT_TEST(ListIsRead);
  CPPUNIT_TEST(EventsAreRead);
  CPPUNIT_TEST(UnreadableEntryLeavesTheOthersReadable);
  CPPUNIT_TEST(EntryWithoutNameIsLeftOut);
  CPPUNIT_TEST(AnswerThatIsNoListIsAnError);
  CPPUNIT_TEST(DamagedAnswersAreErrorsOrLists);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kEra = 3;

  static QByteArray Entry(const QByteArray& aName, const QByteArray& aSpec)
  {
    return R"({"meta":{"name":")" + aName +
           R"(","revision":7,"finalizers":[]}, "status" : null,"spec":)" +
           aSpec + "}";
  }

  static QByteArray List(const QByteArray& aItems)
  {
    return R"({"items": [)" + aItems +
           R"(], "more" : false, "storeRevision":12})";
  }

  static std::vector<QByteArray> UnreadableSpecs()
  {
    return { QByteArray(100'000, '[') + QByteArray(100'000, ']'),
             QByteArray(R"({"a":)").repeated(2000) + "1" +
               QByteArray("}").repeated(2000),
             R"({"slots":1e400})",
             "{\"zone\":\"\xff\xfe\"}",
             R"({"zone" 5})",
             "nothing" };
  }

public:
  void ListIsRead()
  {
    const auto page =
      ParseObjectPage(List(Entry("a", R"({"x":"}],{\"","y":[1,{}]})") + " , " +
                           Entry("b", "5")),
                      kEra);
    CPPUNIT_ASSERT(!page.IsError() && !page.Value().mHasMore);
    const auto& batch = page.Value().mBatch;
    CPPUNIT_ASSERT(batch.mStoreRevision == (StoreRevision{ kEra, 12 }));
    CPPUNIT_ASSERT_EQUAL(size_t(2), batch.mObjects.size());
    CPPUNIT_ASSERT(batch.mObjects[0].mRevision == (StoreRevision{ kEra, 7 }));
    CPPUNIT_ASSERT(batch.mObjects[0].mContent["x"].toString() == "}],{\"");
    CPPUNIT_ASSERT(batch.mObjects[1].mContent.toInt() == 5);
    CPPUNIT_ASSERT(ParseObjectPage(List(""), kEra).Value().mBatch.mObjects ==
                   std::vector<StoredObject>());
  }

  void EventsAreRead()
  {
    const auto batch = ParseObjectEvents(
      R"({"storeRevision":13,"events":[{"deleted":false,"object":)" +
        Entry("a", R"({"x":1})") + R"(},{"object":)" + Entry("b", "{}") +
        R"(,"deleted":true}]})",
      kEra);
    CPPUNIT_ASSERT(!batch.IsError());
    const auto& objects = batch.Value().mObjects;
    CPPUNIT_ASSERT_EQUAL(size_t(2), objects.size());
    CPPUNIT_ASSERT(!objects[0].mIsDeleted && objects[1].mIsDeleted);
  }

  /// Guards against one entry of another writer that makes a whole list
  /// unreadable, which removed all databases.
  void UnreadableEntryLeavesTheOthersReadable()
  {
    for (const auto& it : UnreadableSpecs()) {
      const auto page =
        ParseObjectPage(List(Entry("a", "{\"x\":1}") + "," + Entry("odd", it) +
                             "," + Entry("b", "{\"x\":2}")),
                        kEra);
      const auto message = it.left(20).toStdString();
      CPPUNIT_ASSERT_MESSAGE(message, !page.IsError());
      const auto& objects = page.Value().mBatch.mObjects;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t(3), objects.size());
      CPPUNIT_ASSERT(objects[0].mContent["x"].toInt() == 1);
      CPPUNIT_ASSERT(objects[1].mName == "odd" &&
                     !objects[1].mContent.isObject());
      CPPUNIT_ASSERT(objects[2].mContent["x"].toInt() == 2);
    }
  }

  void EntryWithoutNameIsLeftOut()
  {
    for (const auto* it : { "5", "{}", R"({"meta":[]})", R"({"meta":{}})" }) {
      const auto page = ParseObjectPage(List(Entry("a", "1") + "," + it), kEra);
      CPPUNIT_ASSERT_EQUAL(size_t(1), page.Value().mBatch.mObjects.size());
    }
  }

  /// Guards against an unreadable answer that counts as an empty list.
  void AnswerThatIsNoListIsAnError()
  {
    for (const auto* it : { "", "x", "[]", "{}", R"({"storeRevision":"x"})" }) {
      CPPUNIT_ASSERT(ParseObjectPage(it, kEra).IsError());
      CPPUNIT_ASSERT(ParseObjectEvents(it, kEra).IsError());
      CPPUNIT_ASSERT(ParseStoredObject(it, kEra).IsError());
    }
  }

  /// Random damage must not crash the parsers or keep them from ending.
  void DamagedAnswersAreErrorsOrLists()
  {
    std::mt19937 random(1);
    const auto list = List(Entry("a", R"({"x":"\"y","z":[[1],{"k":null}]})") +
                           "," + Entry("b", "-1.5e3"));
    for (int n = 0; n < 20'000; ++n) {
      auto text = list;
      for (unsigned damage = 0; damage <= random() % 4; ++damage) {
        const auto at = static_cast<qsizetype>(random() % text.size());
        text[at] = static_cast<char>(random() % 256);
      }
      text.truncate(static_cast<qsizetype>(random() % (2 * text.size())));
      (void)ParseObjectPage(text, kEra);
      (void)ParseObjectEvents(text, kEra);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreAnswers);
