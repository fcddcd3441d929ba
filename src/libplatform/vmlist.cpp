#include "vmlist.h"

#include "jsonfield.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Chestnutcove {

VmList::VmList(HttpClient &client, PlatformOptions options)
    : client_(client)
    , options_(std::move(options))
{
}

void VmList::read(Handler onList)
{
    HttpCall call;
    call.url = options_.url + "/v1/vms";
    call.timeout = options_.timeout;
    client_.send(std::move(call), [onList = std::move(onList)](const HttpResult &result) {
        const auto json = result.status.ok() ? nlohmann::json::parse(result.body, nullptr, false) : nlohmann::json();
        if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
            onList(absl::UnavailableError("the VM list can't be read"));
            return;
        }
        std::map<std::string, VmState> vms;
        for (const auto &vm : json["vms"]) {
            vms[fieldOr(vm, "name", "")] = fieldOr(vm, "state", "") == "leaving" ? VmState::Leaving : VmState::Live;
        }
        onList(std::move(vms));
    });
}

}
