// Rendering follows the structure of the value rather than a fixed list of
// fields, so that a field that a newer daemon adds is shown.

#include "heathersaddle/tool/Render.h"
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <vector>

namespace heathersaddle::tool {

namespace json = boost::json;

std::string printable(std::string_view Text) {
  std::string Safe;
  for (unsigned char C : Text)
    Safe += (C < 32 && C != '\n') || C == 127 ? '?' : static_cast<char>(C);
  return Safe;
}

namespace {

std::string cell(const json::value &V) {
  if (V.is_string())
    return printable(std::string_view(V.as_string()));
  if (V.is_null())
    return "-";
  return printable(json::serialize(V));
}

bool isTable(const json::array &A) {
  return !A.empty() &&
         std::all_of(A.begin(), A.end(),
                     [](const json::value &V) { return V.is_object(); });
}

std::vector<std::string> columns(const json::array &Rows) {
  std::vector<std::string> Names;
  for (const json::value &Row : Rows)
    for (const auto &Field : Row.as_object())
      if (std::find(Names.begin(), Names.end(), Field.key()) == Names.end())
        Names.emplace_back(Field.key());
  return Names;
}

using Line = std::vector<std::string>;

std::string align(const std::vector<Line> &Lines, const std::string &Indent) {
  std::vector<std::size_t> Widths(Lines.front().size());
  for (const Line &L : Lines)
    for (std::size_t I = 0; I < L.size(); ++I)
      Widths[I] = std::max(Widths[I], L[I].size());
  std::string Text;
  for (const Line &L : Lines) {
    std::string Row = Indent;
    for (std::size_t I = 0; I < L.size(); ++I)
      Row += L[I] + std::string(Widths[I] - L[I].size() + 2, ' ');
    Row.erase(Row.find_last_not_of(' ') + 1);
    Text += Row + "\n";
  }
  return Text;
}

std::string table(const json::array &Rows, const std::string &Indent) {
  const std::vector<std::string> Names = columns(Rows);
  std::vector<Line> Lines{Names};
  for (const json::value &Row : Rows) {
    Line Cells;
    for (const std::string &Name : Names) {
      const json::value *V = Row.as_object().if_contains(Name);
      std::string Text = V ? cell(*V) : "-";
      std::replace(Text.begin(), Text.end(), '\n', ' ');
      Cells.push_back(std::move(Text));
    }
    Lines.push_back(std::move(Cells));
  }
  return align(Lines, Indent);
}

std::string block(const json::value &Value, const std::string &Indent);

std::string field(std::string_view Name, const json::value &V,
                  const std::string &Indent) {
  std::string Head = Indent + printable(Name) + ":";
  if (const json::array *A = V.if_array())
    return Head + (A->empty() ? " none\n" : "\n" + block(V, Indent + "  "));
  if (V.is_object())
    return Head + "\n" + block(V, Indent + "  ");
  return Head + " " + cell(V) + "\n";
}

std::string block(const json::value &Value, const std::string &Indent) {
  std::string Text;
  if (const json::object *O = Value.if_object()) {
    for (const auto &F : *O)
      Text += field(std::string_view(F.key()), F.value(), Indent);
    return Text;
  }
  if (const json::array *A = Value.if_array()) {
    if (isTable(*A))
      return table(*A, Indent);
    for (const json::value &V : *A)
      Text += Indent + cell(V) + "\n";
    return Text;
  }
  return Indent + cell(Value) + "\n";
}

} // namespace

std::string renderText(const json::value &Value) { return block(Value, ""); }

std::string renderJson(const json::value &Value) {
  return json::serialize(Value) + "\n";
}

} // namespace heathersaddle::tool
