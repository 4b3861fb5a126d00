#include "Cluster.h"

#include <QProcess>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace papayaline;

class TestAuthentication : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAuthentication);
  CPPUNIT_TEST(ScramRightPasswordOverTlsIsAccepted);
  CPPUNIT_TEST(ScramWrongPasswordIsRefused);
  CPPUNIT_TEST(ScramUnknownUserIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<Cluster> sCluster;

  struct Closer
  {
    void operator()(PGconn* aIt) const { PQfinish(aIt); }
  };
  using Connection = std::unique_ptr<PGconn, Closer>;

  static Connection Connect(const std::string& aUser,
                            const std::string& aPassword,
                            const std::string& aTls)
  {
    const auto text = "hostaddr=127.0.0.1 dbname=bookings port=" +
                      std::to_string(sCluster->CallerPort(0)) +
                      " user=" + aUser + " password=" + aPassword +
                      " sslmode=" + aTls + " gssencmode=disable";
    return Connection(PQconnectdb(text.c_str()));
  }

public:
  void setUp() override
  {
    if (sCluster) {
      return;
    }
    static QTemporaryDir sKeys;
    const auto key = sKeys.filePath("key.pem");
    const auto certificate = sKeys.filePath("certificate.pem");
    QProcess::execute("openssl",
                      { "req",
                        "-x509",
                        "-newkey",
                        "rsa:2048",
                        "-nodes",
                        "-subj",
                        "/CN=localhost",
                        "-days",
                        "2",
                        "-keyout",
                        key,
                        "-out",
                        certificate });
    ClusterOptions options;
    options.mInstances = 1;
    options.mExtraSettings =
      "authentication: scram\naccounts:\n"
      "  - {name: agents, password: right}\ntls:\n  certificate: " +
      certificate.toStdString() + "\n  key: " + key.toStdString() + "\n";
    sCluster = std::make_unique<Cluster>(options);
    CPPUNIT_ASSERT(sCluster->Start());
  }

  void ScramRightPasswordOverTlsIsAccepted()
  {
    const auto connection = Connect("agents", "right", "require");
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         std::string(PQerrorMessage(connection.get())));
    CPPUNIT_ASSERT(PQsslInUse(connection.get()) != 0);
    auto* result = PQexec(connection.get(), "SELECT 41 + 1");
    CPPUNIT_ASSERT_EQUAL(std::string("42"),
                         std::string(PQgetvalue(result, 0, 0)));
    PQclear(result);
  }

  void ScramWrongPasswordIsRefused()
  {
    const auto connection = Connect("agents", "wrong", "disable");
    CPPUNIT_ASSERT(PQstatus(connection.get()) == CONNECTION_BAD);
  }

  void ScramUnknownUserIsRefused()
  {
    const auto connection = Connect("stranger", "right", "disable");
    CPPUNIT_ASSERT(PQstatus(connection.get()) == CONNECTION_BAD);
  }
};

std::unique_ptr<Cluster> TestAuthentication::sCluster;

CPPUNIT_TEST_SUITE_REGISTRATION(TestAuthentication);
