/**
 * States of a VM in the platform's list.
 */
#pragma once

namespace Chestnutcove {

enum class VmState {
    Live,
    Leaving,
};

}
