#ifndef HEATHERSADDLE_TOOL_RENDER_H
#define HEATHERSADDLE_TOOL_RENDER_H

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace heathersaddle::tool {

/// Text for a person: "name: value" lines; an array of objects becomes a
/// table whose columns are the fields in order of first appearance. Control
/// characters are replaced, so that an answer cannot send control sequences to
/// the terminal.
std::string renderText(const boost::json::value &Value);

/// \p Text with control characters other than line ends replaced.
std::string printable(std::string_view Text);

/// One line of JSON.
std::string renderJson(const boost::json::value &Value);

} // namespace heathersaddle::tool

#endif
