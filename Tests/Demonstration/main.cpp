#include "Callers/CallerClient.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <sys/types.h>
#include <vector>

/// Drives one deployment's story through three running VMs and shows each
/// request as a line of a table. Exits 0 only if every outcome is right.
using namespace Acaciavale;

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// One line of the table.
struct Line
{
  std::string mWhat;
  std::string mAccount;
  std::string mVm;
  std::string mModel;
  std::string mStages;
  long mCostMicros = 0;
  std::string mOutcome;
  bool mRight = false;
};

/// What differs between the two deployments.
struct Story
{
  std::string mAccount;
  std::string mCascade;
  std::string mModel;
  std::string mDraft;
  std::string mShort;
  std::string mLookupPath;
  std::string mLookup;
  std::string mOncePath;
  std::string mOnce;
};

Story StoryOf(const std::string& aDeployment)
{
  if (aDeployment == "jadran") {
    return { "croatian-wings",
             "dossier-cascade",
             "checker",
             "dossier summary, streamed",
             "certificate check by the model",
             "/v1/services/records/certificates/HR-1207",
             "currency look-up",
             "/v1/services/records/drills",
             "evacuation drill" };
  }
  return { "addis-bath-showroom",
           "planner-cascade",
           "planner",
           "layout draft, streamed",
           "fixture suggestion",
           "/v1/services/bookings/labels/tile-42",
           "price labels",
           "/v1/services/bookings/deposits",
           "deposit" };
}

class Demonstration
{
public:
  Demonstration(const std::string& aDeployment, std::vector<std::string> aVms)
    : mStory(StoryOf(aDeployment))
    , mVms(std::move(aVms))
  {
  }

  void Draft(std::size_t aVm)
  {
    const CallerAnswer answer = Call(ChatCall(aVm, mStory.mCascade, true));
    AddChat(mStory.mDraft, aVm, answer);
    const auto session = answer.mHeaders.find("x-session");
    mSession = session == answer.mHeaders.end() ? "" : session->second;
    mSessionStages = mLines.back().mStages;
  }

  void SessionOnAnotherVm(std::size_t aVm)
  {
    CallerCall call = ChatCall(aVm, mStory.mCascade, true);
    call.mHeaders.emplace_back("X-Session", mSession);
    AddChat("the same session, another VM", aVm, Call(call));
    const std::string& stages = mLines.back().mStages;
    // NOTE: A session keeps its versions; how many stages a request runs is
    //       each answer's own affair, so one list starts with the other.
    const bool kept = stages.rfind(mSessionStages, 0) == 0 ||
                      mSessionStages.rfind(stages, 0) == 0;
    mLines.back().mRight = mLines.back().mRight && kept;
  }

  void Short(std::size_t aVm)
  {
    AddChat(mStory.mShort, aVm, Call(ChatCall(aVm, mStory.mModel, false)));
  }

  void Lookup(std::size_t aVm)
  {
    CallerCall call;
    call.mAddress = mVms[aVm];
    call.mKey = Key();
    call.mPath = mStory.mLookupPath;
    AddService(mStory.mLookup, aVm, Call(call), false);
  }

  void Catalogue(std::size_t aVm)
  {
    CallerCall call;
    call.mAddress = mVms[aVm];
    call.mKey = Key();
    call.mPath = "/v1/services/bookings/catalogue/basins";
    AddService("catalogue look-up", aVm, Call(call), false);
  }

  void OnceThroughTwoVms(std::size_t aFirst, std::size_t aSecond)
  {
    const CallerAnswer first = CallOnce(aFirst, mStory.mOncePath, "once-1");
    AddService(mStory.mOnce + ", first try", aFirst, first, false);
    const CallerAnswer second = CallOnce(aSecond, mStory.mOncePath, "once-1");
    AddService(mStory.mOnce + ", same key", aSecond, second, true);
    mLines.back().mRight = mLines.back().mRight && first.mBody == second.mBody;
  }

  void OnceWithoutKey(std::size_t aVm)
  {
    AddRefusal(mStory.mOnce + ", no key",
               aVm,
               CallOnce(aVm, mStory.mOncePath, ""),
               kBadRequest);
  }

  void ForeignModel(std::size_t aVm)
  {
    AddRefusal("a model of somebody else",
               aVm,
               Call(ChatCall(aVm, "somebody-elses", false)),
               kNotFound);
  }

  /// Asks the VM to stop once the first bytes of a stream have come through.
  void StopDuringStream(std::size_t aVm, pid_t aPid)
  {
    bool asked = false;
    const CallerAnswer answer = Call(ChatCall(aVm, mStory.mCascade, true, 400),
                                     [&asked, aPid](std::string_view) {
                                       if (!asked) {
                                         asked = true;
                                         ::kill(aPid, SIGTERM);
                                       }
                                     });
    AddChat("a stream while its VM stops", aVm, answer);
    mLines.back().mRight = mLines.back().mRight && asked;
  }

  void LeftTheList(std::size_t aAsked, std::size_t aLeft)
  {
    CallerCall call;
    call.mAddress = mVms[aAsked];
    call.mPath = "/v1/entries";
    const CallerAnswer answer = Call(call);
    Line line{
      "the list of addresses", "", VmName(aAsked), "", "", 0, "", false
    };
    const bool listed = answer.mBody.find(mVms[aLeft]) != std::string::npos;
    line.mRight = answer.mStatus == 200 && !listed &&
                  answer.mBody.find(mVms[aAsked]) != std::string::npos;
    line.mOutcome = listed ? "still lists " + VmName(aLeft)
                           : VmName(aLeft) + " has left the list";
    mLines.push_back(line);
  }

  bool Print(const std::string& aDeployment) const
  {
    std::printf("\n%s\n", aDeployment.c_str());
    std::printf("%-30s %-19s %-5s %-8s %-34s %13s  %s\n",
                "request",
                "account",
                "VM",
                "model",
                "stages",
                "cost (micros)",
                "outcome");
    bool right = true;
    for (const Line& line : mLines) {
      right = right && line.mRight;
      std::printf("%-30s %-19s %-5s %-8s %-34s %13ld  %s %s\n",
                  line.mWhat.c_str(),
                  line.mAccount.c_str(),
                  line.mVm.c_str(),
                  line.mModel.c_str(),
                  line.mStages.c_str(),
                  line.mCostMicros,
                  line.mRight ? "✓" : "✗ WRONG:",
                  line.mOutcome.c_str());
    }
    return right;
  }

private:
  std::string Key() const { return "key-" + mStory.mAccount; }

  static std::string VmName(std::size_t aVm)
  {
    return "vm-" + std::to_string(aVm + 1);
  }

  CallerCall ChatCall(std::size_t aVm,
                      const std::string& aModel,
                      bool aStream,
                      int aMaxTokens = 60) const
  {
    CallerCall call;
    call.mAddress = mVms[aVm];
    call.mMethod = "POST";
    call.mPath = "/v1/chat/completions";
    call.mKey = Key();
    call.mHeaders = { { "Content-Type", "application/json" },
                      { "X-Request-Kind", "summary" } };
    call.mBody = ChatBody(aModel, mStory.mDraft, aStream, aMaxTokens);
    return call;
  }

  CallerAnswer CallOnce(std::size_t aVm,
                        const std::string& aPath,
                        const std::string& aKey) const
  {
    CallerCall call;
    call.mAddress = mVms[aVm];
    call.mMethod = "POST";
    call.mPath = aPath;
    call.mKey = Key();
    call.mBody = "{\"note\":\"demonstration\"}";
    call.mHeaders = { { "Content-Type", "application/json" } };
    if (!aKey.empty()) {
      call.mHeaders.emplace_back("Idempotency-Key", aKey);
    }
    return Call(call);
  }

  void AddChat(const std::string& aWhat,
               std::size_t aVm,
               const CallerAnswer& aAnswer)
  {
    const ChatAnswer chat = ReadChatAnswer(aAnswer);
    Line line{ aWhat,        mStory.mAccount,  VmName(aVm), chat.mModel,
               chat.mStages, chat.mCostMicros, "",          false };
    const bool own = !chat.mRequest.empty() &&
                     chat.mContent.find(chat.mRequest) != std::string::npos;
    line.mRight = chat.mWhole && own && chat.mCostMicros > 0;
    line.mOutcome =
      chat.mWhole ? "whole answer, its own" : "not whole: " + chat.mError;
    mLines.push_back(line);
  }

  void AddRefusal(const std::string& aWhat,
                  std::size_t aVm,
                  const CallerAnswer& aAnswer,
                  int aStatus)
  {
    Line line{ aWhat, mStory.mAccount, VmName(aVm), "", "", 0, "", false };
    const ChatAnswer problem = ReadChatAnswer(aAnswer);
    line.mRight = aAnswer.mStatus == aStatus && problem.mRan == "no";
    line.mOutcome = "refused: " + problem.mError + ", ran: " + problem.mRan;
    mLines.push_back(line);
  }

  void AddService(const std::string& aWhat,
                  std::size_t aVm,
                  const CallerAnswer& aAnswer,
                  bool aStored)
  {
    const auto stored = aAnswer.mHeaders.find("x-acaciavale-stored");
    const auto cost = aAnswer.mHeaders.find("x-acaciavale-cost-micros");
    const bool wasStored = stored != aAnswer.mHeaders.end();
    Line line{ aWhat, mStory.mAccount, VmName(aVm), "", "", 0, "", false };
    line.mCostMicros = cost == aAnswer.mHeaders.end()
                         ? 0
                         : std::strtol(cost->second.c_str(), nullptr, 10);
    line.mRight = aAnswer.mTransferred && aAnswer.mStatus / 100 == 2 &&
                  wasStored == aStored;
    line.mOutcome = "status " + std::to_string(aAnswer.mStatus) +
                    (wasStored ? ", the stored answer, not run again" : "");
    mLines.push_back(line);
  }

  const Story mStory;
  const std::vector<std::string> mVms;
  std::string mSession;
  std::string mSessionStages;
  std::vector<Line> mLines;
};

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 6) {
    std::fprintf(stderr,
                 "usage: acaciavale-demonstration jadran|gebeta "
                 "VM1 VM2 VM3 PID-OF-VM3\n");
    return 2;
  }
  const std::string deployment = aArguments[1];
  Demonstration demonstration(deployment,
                              { aArguments[2], aArguments[3], aArguments[4] });
  demonstration.Draft(0);
  demonstration.SessionOnAnotherVm(1);
  demonstration.Short(1);
  demonstration.Lookup(2);
  if (deployment == "gebeta") {
    demonstration.Catalogue(1);
  }
  demonstration.OnceThroughTwoVms(0, 1);
  demonstration.OnceWithoutKey(0);
  demonstration.ForeignModel(1);
  demonstration.StopDuringStream(
    2, static_cast<pid_t>(std::strtol(aArguments[5], nullptr, 10)));
  demonstration.LeftTheList(0, 2);
  return demonstration.Print(deployment) ? 0 : 1;
}
