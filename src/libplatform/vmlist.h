/**
 * Reads the platform's list of live and leaving VMs. The list lags behind the actual state.
 */
#pragma once

#include "httpclient.h"
#include "httptable.h"
#include "vmstate.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>

namespace Chestnutcove {

class VmList
{
public:
    using Handler = std::function<void(absl::StatusOr<std::map<std::string, VmState>>)>;

    VmList(HttpClient &client, PlatformOptions options);
    void read(Handler onList);

private:
    HttpClient &client_;
    PlatformOptions options_;
};

}
