#include "operatorapi.h"

#include "callerkey.h"

#include <asio/post.hpp>
#include <openssl/crypto.h>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view CataloguePath = "/operator/catalogue";
constexpr std::string_view KeysPath = "/operator/keys";
constexpr std::string_view EndpointsPath = "/operator/endpoints";

void respondJson(const HttpReply &reply, int status, const nlohmann::json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

void respondError(const HttpReply &reply, int status, const std::string &message)
{
    respondJson(reply, status, {{"error", message}});
}

int statusOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
        return 400;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
        return 409;
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kUnknown:
        return 504;
    default:
        return 500;
    }
}

nlohmann::json entryJson(const Catalogue &catalogue, EntryKind kind, const std::string &name, const Entry &entry)
{
    nlohmann::json document = toJson(entry);
    if (kind == EntryKind::Key) {
        document.erase("hash");
    }
    return {{"kind", nameOf(EntryKindNames, kind)},
            {"name", name},
            {"version", catalogue.entryVersion(kind, name)},
            {"document", std::move(document)}};
}

template<typename Map>
void appendEntries(nlohmann::json &list, const Catalogue &catalogue, EntryKind kind, const Map &entries)
{
    for (const auto &[name, entry] : entries) {
        list.push_back(entryJson(catalogue, kind, name, *entry));
    }
}

}

OperatorApi::OperatorApi(Gateway &gateway, asio::io_context &context)
    : gateway_(gateway)
    , ioContext_(context)
{
}

void OperatorApi::handleRequest(HttpRequest request, const HttpReply &reply)
{
    asio::post(ioContext_, [this, request = std::move(request), reply] { dispatch(request, reply); });
}

bool OperatorApi::isAuthorised(const HttpRequest &request) const
{
    const auto header = request.headerValue("Authorization");
    const std::string &token = gateway_.settings().operatorToken;
    if (!header || !header->starts_with(BearerPrefix)) {
        return false;
    }
    const auto receivedToken = header->substr(BearerPrefix.size());
    return receivedToken.size() == token.size() && CRYPTO_memcmp(receivedToken.data(), token.data(), token.size()) == 0;
}

void OperatorApi::dispatch(const HttpRequest &request, const HttpReply &reply)
{
    const std::string &path = request.path;
    if (path == "/healthz") {
        respondJson(reply, 200, {{"healthy", true}});
        return;
    }
    if (path == "/readyz") {
        respondJson(reply, gateway_.isReady() ? 200 : 503, {{"ready", gateway_.isReady()}});
        return;
    }
    if (path == "/metrics") {
        reply.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, gateway_.metrics().toPrometheusText());
        return;
    }
    if (!isAuthorised(request)) {
        respondError(reply, 401, "send the operator token as \"Authorization: Bearer TOKEN\"");
        return;
    }
    if (path == CataloguePath && request.method == "GET") {
        listCatalogue(request, reply);
    } else if (path.starts_with(std::string(CataloguePath) + "/")) {
        handleCatalogueEntry(request, reply, path.substr(CataloguePath.size() + 1));
    } else if (path.starts_with(KeysPath)) {
        handleKeys(request, reply, path.size() > KeysPath.size() ? path.substr(KeysPath.size() + 1) : std::string());
    } else if (path == EndpointsPath && request.method == "GET") {
        respondJson(reply, 200, {{"endpoints", gateway_.endpointStates()}});
    } else if (path.starts_with(std::string(EndpointsPath) + "/") && request.method == "POST") {
        const std::string subPath = path.substr(EndpointsPath.size() + 1);
        const auto slash = subPath.find('/');
        const std::string action = slash == std::string::npos ? "" : subPath.substr(slash + 1);
        if (action == "drain" || action == "undrain") {
            setDraining(reply, subPath.substr(0, slash), action == "drain");
        } else {
            respondError(reply, 404, "an endpoint can be drained or undrained");
        }
    } else if (path == "/operator/in-force") {
        respondJson(reply, 200, {{"gateways", gateway_.catalogueVersionsInForce()}});
    } else if (path == "/operator/dump") {
        respondWithDump(request, reply);
    } else if (path == "/operator/explain") {
        respondWithExplanation(request, reply);
    } else {
        respondError(reply, 404, "no such operation");
    }
}

void OperatorApi::listCatalogue(const HttpRequest &request, const HttpReply &reply)
{
    const Catalogue &catalogue = gateway_.catalogue();
    const std::string kindFilter = request.queryParameter("kind").value_or("");
    if (!kindFilter.empty() && !valueOf(EntryKindNames, kindFilter)) {
        respondError(reply, 400, "kind is one of " + allNames(EntryKindNames));
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    const auto append = [&](EntryKind kind, const auto &entries) {
        if (kindFilter.empty() || kindFilter == nameOf(EntryKindNames, kind)) {
            appendEntries(list, catalogue, kind, entries);
        }
    };
    append(EntryKind::Customer, catalogue.customers());
    append(EntryKind::Model, catalogue.models());
    append(EntryKind::Service, catalogue.services());
    append(EntryKind::Endpoint, catalogue.endpoints());
    append(EntryKind::Key, catalogue.keys());
    respondJson(reply, 200, {{"version", catalogue.version()}, {"entries", std::move(list)}});
}

void OperatorApi::handleCatalogueEntry(const HttpRequest &request, const HttpReply &reply, const std::string &subPath)
{
    const auto slash = subPath.find('/');
    const auto kind = valueOf(EntryKindNames, std::string_view(subPath).substr(0, slash));
    if (!kind || slash == std::string::npos) {
        respondError(reply, 404, "an entry is named KIND/NAME, where KIND is one of " + allNames(EntryKindNames));
        return;
    }
    const std::string name = subPath.substr(slash + 1);
    const Catalogue &catalogue = gateway_.catalogue();
    const auto entry = catalogue.find(*kind, name);
    if (request.method == "GET") {
        if (entry) {
            respondJson(reply, 200, entryJson(catalogue, *kind, name, *entry));
        } else {
            respondError(reply, 404, "there is no such entry");
        }
        return;
    }
    if (request.method == "PUT") {
        putEntry(request, reply, *kind, name);
        return;
    }
    if (request.method != "DELETE") {
        respondError(reply, 405, "an entry takes GET, PUT and DELETE");
        return;
    }
    if (!entry) {
        respondError(reply, 404, "there is no such entry");
        return;
    }
    commitEdit({*kind, name, std::nullopt, std::nullopt}, reply, {});
}

void OperatorApi::putEntry(const HttpRequest &request, const HttpReply &reply, EntryKind kind, const std::string &name)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false, true);
    if (!body.is_object() || !body.contains("document")) {
        respondError(reply, 400, "the body must be an object with \"document\" and, where wanted, \"expectedVersion\"");
        return;
    }
    if (kind == EntryKind::Key) {
        respondError(reply, 400, "keys are granted and withdrawn, not put");
        return;
    }
    const auto entry = entryFromJson(kind, name, body["document"]);
    if (!entry.ok()) {
        respondError(reply, 400, std::string(entry.status().message()));
        return;
    }
    CatalogueEdit change{kind, name, *entry, std::nullopt};
    const auto expected = body.find("expectedVersion");
    if (expected != body.end()) {
        if (!expected->is_number_unsigned()) {
            respondError(reply, 400, "\"expectedVersion\" must be a whole number");
            return;
        }
        change.expectedVersion = expected->get<std::uint64_t>();
    }
    commitEdit(std::move(change), reply, {});
}

void OperatorApi::commitEdit(CatalogueEdit change, const HttpReply &reply, nlohmann::json result)
{
    gateway_.editor().submitEdit(std::move(change),
                                 [reply, result = std::move(result)](const absl::StatusOr<std::uint64_t> &version) mutable {
                                     if (!version.ok()) {
                                         respondError(reply, statusOf(version.status()), std::string(version.status().message()));
                                         return;
                                     }
                                     result["version"] = *version;
                                     respondJson(reply, 200, result);
                                 });
}

void OperatorApi::handleKeys(const HttpRequest &request, const HttpReply &reply, const std::string &subPath)
{
    const Catalogue &catalogue = gateway_.catalogue();
    if (request.method == "GET" && subPath.empty()) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[name, key] : catalogue.keys()) {
            list.push_back({{"name", name}, {"customer", key->customer}, {"version", catalogue.entryVersion(EntryKind::Key, name)}});
        }
        respondJson(reply, 200, {{"keys", std::move(list)}});
        return;
    }
    if (request.method == "POST" && subPath.empty()) {
        grantCallerKey(request, reply);
        return;
    }
    if (request.method != "DELETE" || subPath.empty()) {
        respondError(reply, 405, "keys are listed by GET, granted by POST and withdrawn by DELETE");
        return;
    }
    if (!catalogue.keys().contains(subPath)) {
        respondError(reply, 404, "there is no such key");
        return;
    }
    commitEdit({EntryKind::Key, subPath, std::nullopt, std::nullopt}, reply, {});
}

void OperatorApi::grantCallerKey(const HttpRequest &request, const HttpReply &reply)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("customer") || !body["customer"].is_string()) {
        respondError(reply, 400, "the body must be an object with a text as \"customer\"");
        return;
    }
    const std::string customer = body["customer"].get<std::string>();
    if (!gateway_.catalogue().customers().contains(customer)) {
        respondError(reply, 404, "there is no such customer");
        return;
    }
    const auto granted = grantKey(customer, gateway_.settings().keyPepper);
    if (!granted.ok()) {
        respondError(reply, 500, std::string(granted.status().message()));
        return;
    }
    commitEdit(
        {EntryKind::Key, granted->entry.name, granted->entry, std::nullopt}, reply, {{"key", granted->key}, {"name", granted->entry.name}});
}

void OperatorApi::setDraining(const HttpReply &reply, const std::string &name, bool draining)
{
    const auto entry = gateway_.catalogue().find(EntryKind::Endpoint, name);
    if (!entry) {
        respondError(reply, 404, "there is no such endpoint");
        return;
    }
    EndpointEntry endpoint = std::get<EndpointEntry>(*entry);
    endpoint.draining = draining;
    commitEdit({EntryKind::Endpoint, name, endpoint, std::nullopt}, reply, {});
}

void OperatorApi::respondWithDump(const HttpRequest &request, const HttpReply &reply)
{
    const auto endpoint = request.queryParameter("endpoint");
    if (!endpoint) {
        respondJson(reply, 200, gateway_.dump());
        return;
    }
    gateway_.dumpSidecar(*endpoint, [reply](const absl::StatusOr<std::string> &json) {
        if (json.ok()) {
            reply.respond(200, {{"Content-Type", "application/json"}}, *json);
        } else {
            respondError(reply, statusOf(json.status()), std::string(json.status().message()));
        }
    });
}

void OperatorApi::respondWithExplanation(const HttpRequest &request, const HttpReply &reply)
{
    const auto id = request.queryParameter("request");
    if (!id) {
        respondJson(reply, 200, {{"steps", gateway_.plannerDecisions()}});
        return;
    }
    const RequestTrace *trace = gateway_.trace(*id);
    if (trace == nullptr) {
        respondError(reply, 404, "this gateway knows no such request");
        return;
    }
    respondJson(
        reply, 200, {{"request", trace->publicId}, {"customer", trace->customer}, {"serves", trace->serves}, {"steps", trace->steps}});
}

}
