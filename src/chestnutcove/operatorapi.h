/**
 * The operators' HTTP interface of a gateway, on its own listener: health, metrics, catalogue, keys, endpoints, state dumps, and
 * explanations of requests and of the planner's decisions.
 */
#pragma once

#include "gateway.h"
#include "httpserver.h"

namespace Chestnutcove {

class OperatorApi
{
public:
    /** @param gateway must outlive this object. */
    OperatorApi(Gateway &gateway, asio::io_context &context);

    /** Called on the HTTP threads; hands the request to the core thread. */
    void handleRequest(HttpRequest request, const HttpReply &reply);

private:
    void dispatch(const HttpRequest &request, const HttpReply &reply);
    bool isAuthorised(const HttpRequest &request) const;
    void listCatalogue(const HttpRequest &request, const HttpReply &reply);
    void handleCatalogueEntry(const HttpRequest &request, const HttpReply &reply, const std::string &subPath);
    void putEntry(const HttpRequest &request, const HttpReply &reply, EntryKind kind, const std::string &name);
    void handleKeys(const HttpRequest &request, const HttpReply &reply, const std::string &subPath);
    void grantCallerKey(const HttpRequest &request, const HttpReply &reply);
    void setDraining(const HttpReply &reply, const std::string &name, bool draining);
    void respondWithDump(const HttpRequest &request, const HttpReply &reply);
    void respondWithExplanation(const HttpRequest &request, const HttpReply &reply);
    void commitEdit(CatalogueEdit change, const HttpReply &reply, nlohmann::json result);

    Gateway &gateway_;
    asio::io_context &ioContext_;
};

}
