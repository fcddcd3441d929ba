/**
 * Generators of random step sequences for the tests of leases and orders.
 */
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <functional>
#include <ostream>
#include <vector>

namespace Chestnutcove {

/** An action of a simulation. */
struct Step
{
    int kind = 0;
    std::size_t argument = 0;
};

inline std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << step.kind << "," << step.argument << "}";
}

inline rc::Gen<Step> anyStep(int kinds)
{
    return rc::gen::construct<Step>(rc::gen::inRange(0, kinds), rc::gen::inRange<std::size_t>(0, 64));
}

/** Whether @p matches returns true for one of @p sequences random sequences. The seeds are fixed. */
inline bool
anySequenceMatches(std::size_t sequences, std::size_t length, int kinds, const std::function<bool(const std::vector<Step> &)> &matches)
{
    for (std::size_t seed = 0; seed < sequences; ++seed) {
        if (matches(rc::gen::container<std::vector<Step>>(length, anyStep(kinds))(rc::Random(seed), 100).value())) {
            return true;
        }
    }
    return false;
}

}
