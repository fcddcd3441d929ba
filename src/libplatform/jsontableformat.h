/**
 * The project's own HTTP/JSON format of a table service, which the stand-in platform implements.
 */
#pragma once

#include "tableformat.h"

namespace Chestnutcove {

class JsonTableFormat
{
public:
    HttpCall encodeGet(const std::vector<std::string> &keys) const;
    HttpCall encodeList(const std::string &prefix) const;
    HttpCall encodeCommit(const TableTransaction &transaction) const;
    absl::StatusOr<TableRows> decodeRows(const HttpResult &result) const;
    CommitOutcome decodeOutcome(const HttpResult &result) const;
};

}
