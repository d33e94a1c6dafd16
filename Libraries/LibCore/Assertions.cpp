#include <Acaciavale/LibCore/Log.h>

#include <boost/assert.hpp>
#include <string>

/// What follows an assertion of Boost that does not hold. The process goes on,
/// as in builds without assertions: it serves others as well, and not all
/// assertions are right (the parser of Beast 1.74 takes the end of a body that
/// arrives in parts for impossible).
namespace boost {

void assertion_failed(const char* aExpression,
                      const char* aFunction,
                      const char* aFile,
                      long aLine)
{
  assertion_failed_msg(aExpression, "", aFunction, aFile, aLine);
}

void assertion_failed_msg(const char* aExpression,
                          const char* aMessage,
                          const char* /*aFunction*/,
                          const char* aFile,
                          long aLine)
{
  Acaciavale::Log(Acaciavale::LogLevel::Warning,
                  "process",
                  "An assertion of a library does not hold.",
                  { { "expression", aExpression },
                    { "message", aMessage },
                    { "place", aFile + (':' + std::to_string(aLine)) } });
}

} // namespace boost
