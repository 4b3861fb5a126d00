#include "Cases.h"

#include <QCoreApplication>
#include <cstdio>

int
main(int aCount, char** aWords)
{
  const QCoreApplication application(aCount, aWords);
  if (aCount != 3) {
    std::fprintf(stderr, "usage: review-2 CASE RECORD\n");
    return static_cast<int>(review::Result::NotRun);
  }
  const bool hasTrouble = qgetenv("TROUBLE") != "0";
  return static_cast<int>(review::RunCase(aWords[1], aWords[2], hasTrouble));
}
