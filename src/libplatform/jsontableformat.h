/**
 * The project's own HTTP/JSON format of a table service, spoken by the stand-in.
 */
#pragma once

#include "tableformat.h"

namespace Chestnutcove {

class JsonTableFormat
{
public:
    HttpCall get(const std::vector<std::string> &keys) const;
    HttpCall list(const std::string &prefix) const;
    HttpCall commit(const TableTransaction &transaction) const;
    absl::StatusOr<TableRows> rows(const HttpResult &result) const;
    CommitOutcome outcome(const HttpResult &result) const;
};

}
