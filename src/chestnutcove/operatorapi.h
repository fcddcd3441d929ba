/**
 * The operators' HTTP interface of a gateway, on its own listener: health, metrics, catalogue, keys, endpoints, state dumps, explanations.
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

    /** Called by the HTTP threads; the work is done on the core thread. */
    void handle(HttpRequest request, const HttpReply &reply);

private:
    void dispatch(const HttpRequest &request, const HttpReply &reply);
    bool isAuthorised(const HttpRequest &request) const;
    void listCatalogue(const HttpRequest &request, const HttpReply &reply);
    void catalogueEntry(const HttpRequest &request, const HttpReply &reply, const std::string &rest);
    void putEntry(const HttpRequest &request, const HttpReply &reply, EntryKind kind, const std::string &name);
    void keys(const HttpRequest &request, const HttpReply &reply, const std::string &rest);
    void grant(const HttpRequest &request, const HttpReply &reply);
    void drain(const HttpReply &reply, const std::string &name, bool draining);
    void dump(const HttpRequest &request, const HttpReply &reply);
    void explain(const HttpRequest &request, const HttpReply &reply);
    void edit(CatalogueEdit edit, const HttpReply &reply, nlohmann::json result);

    Gateway &gateway_;
    asio::io_context &context_;
};

}
