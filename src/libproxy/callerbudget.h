/**
 * What all listeners of a process together may keep for their callers: bytes of bodies, buffered input, large heads and unread responses,
 * and open connections.
 */
#pragma once

#include "bytebudget.h"
#include "connectionbound.h"

#include <cstddef>
#include <limits>

namespace Chestnutcove {

struct CallerBudget
{
    CallerBudget(std::size_t maxBytes, std::size_t maxConnections)
        : bytes(maxBytes)
        , connections(maxConnections)
    {
    }

    /** Of the process's descriptors, those that the platform reserves for files. */
    static constexpr std::size_t ReservedDescriptors = 200;
    /** Fraction of the other descriptors that is left to the connections to endpoints, gateways and the store. */
    static constexpr std::size_t ReserveDivisor = 4;
    static constexpr std::size_t MinConnections = 16;

    /**
     * Connections of callers, with the endpoints' connections that belong to them.
     * @param maxDescriptors of the process; 0 if they aren't bounded.
     */
    static constexpr std::size_t connectionsOf(std::size_t maxDescriptors)
    {
        if (maxDescriptors == 0) {
            return std::numeric_limits<std::size_t>::max();
        }
        const std::size_t usable = maxDescriptors > ReservedDescriptors ? maxDescriptors - ReservedDescriptors : 0;
        const std::size_t connections = usable - usable / ReserveDivisor;
        return connections > MinConnections ? connections : MinConnections;
    }

    ByteBudget bytes;
    ConnectionBound connections;
};

}
