#include "RelayMain.h"

#include "RelayService.h"
#include "platform/DocumentParser.h"
#include "platform/LineCallerProtocol.h"
#include "platform/LineUpstreamProtocol.h"
#include "platform/PromotionClient.h"
#include "platform/StoreClient.h"

#include <QCoreApplication>
#include <cstdio>

namespace papayaline {

namespace {

constexpr int kExitCantListen = 3;

}

int
ServeRelay(const RelaySettings& aSettings)
{
  platform::StoreClient store(aSettings.mStore);
  platform::PromotionClient promotion(aSettings.mPromotion);
  const platform::DocumentParser documentParser;
  RelayService service(aSettings,
                       { platform::LineCallerProtocol::Create,
                         platform::LineUpstreamProtocol::Create,
                         store,
                         promotion,
                         documentParser });
  const auto started = service.Start();
  if (started.IsError()) {
    std::fprintf(
      stderr, "papayalined: %s\n", started.GetError().mMessage.c_str());
    return kExitCantListen;
  }
  return QCoreApplication::exec();
}

}
