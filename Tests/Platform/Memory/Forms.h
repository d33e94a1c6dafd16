#pragma once

#include <string>
#include <vector>

/// Forms of bytes that an endpoint or a caller sends without end.
namespace Acaciavale::Memory {

struct Form
{
  std::string mName;
  /// Route of the requests, "look" or "chat".
  std::string mRoute;
  /// What is sent first; REQUEST-ID stands for the id of the request.
  std::string mPrefix;
  /// What is sent again and again; empty: nothing follows, and the connection
  /// stays open. NUMBER stands for the number of the repetition.
  std::string mFiller;
  /// Whether callers send this. Endpoints then keep silent.
  bool mIsOfCaller = false;
};

/// All forms: heads, bodies and streams of endpoints, and requests of callers.
std::vector<Form> AllForms();

/// The number of repetitions of the filler that are sent at once.
int RepetitionsPerWrite(const Form& aForm);

/// The filler, repeated so often, from the given repetition on.
std::string FillerText(const Form& aForm, int aFirst);

} // namespace Acaciavale::Memory
